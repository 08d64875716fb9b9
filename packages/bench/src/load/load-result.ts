/** Result of one worker thread in one load run. */
export interface LoadResult {
  readonly completed: number
  readonly failed: number
  readonly durationMs: number
  /** Total bytes of all completed responses. */
  readonly bytes: number
  /** Histogram of latencies in microseconds, compressed and encoded in Base64. */
  readonly latencies: string
}
