/** Source of time that counts suspensions of the VM. */
export interface ElapsedClock {
  /** Milliseconds since some moment before the process started. */
  now (): number
}
