/** Source of time and timers; tests inject an implementation that they advance manually. */
export interface Clock {
  /**
   * Returns a monotonic time in milliseconds, which keeps advancing while the process is paused.
   */
  now (): number
  /**
   * Returns the wall-clock time in milliseconds since the epoch, for display, the age of idempotency keys
   * and the schedule of checkpoints. The clocks of different routers are not synchronized.
   */
  wallNow (): number
  /**
   * Resolves after a delay.
   * @param ms delay in milliseconds
   * @param signal ends the delay early; the promise then resolves instead of rejecting
   */
  sleep (ms: number, signal?: AbortSignal): Promise<void>
}
