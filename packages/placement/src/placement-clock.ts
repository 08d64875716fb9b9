/** Clock and timers used by placement. Injected, which lets tests control the time. */
export interface PlacementClock {
  /** Returns the time of a monotonic clock, in milliseconds. */
  now (): number
  /**
   * Returns a promise that resolves after a delay.
   * @param ms delay, in milliseconds
   * @param signal resolves the promise early when aborted; the promise never rejects
   */
  sleep (ms: number, signal?: AbortSignal): Promise<void>
}
