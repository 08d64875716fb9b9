/** Source of time and timers; tests inject one that they move by hand. */
export interface Clock {
  /**
   * Milliseconds of a monotonic clock that keeps counting while the process is paused.
   */
  now (): number
  /**
   * Milliseconds since the epoch, for people and for key ages.
   */
  wallNow (): number
  /**
   * Waits.
   * @param ms how long, in milliseconds
   * @param signal ends the wait early; the promise then resolves as well
   */
  sleep (ms: number, signal?: AbortSignal): Promise<void>
}
