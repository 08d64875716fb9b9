/** Source of time and timers for placement; tests inject one that they move by hand. */
export interface PlacementClock {
  /** Milliseconds of a monotonic clock. */
  now (): number
  /**
   * Waits.
   * @param ms how long, in milliseconds
   * @param signal ends the wait early; the promise then resolves as well
   */
  sleep (ms: number, signal?: AbortSignal): Promise<void>
}
