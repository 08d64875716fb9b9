/** What one worker saw in one run of load. */
export interface LoadResult {
  readonly completed: number
  readonly failed: number
  readonly durationMs: number
  /** Bytes of all answers. */
  readonly bytes: number
  /** Encoded histogram of latencies in microseconds. */
  readonly latencies: string
}
