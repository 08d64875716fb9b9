/** Monotonic clock that also advances while the VM is suspended. */
export interface ElapsedClock {
  /** Returns the milliseconds since a fixed moment before the process started. */
  now (): number
}
