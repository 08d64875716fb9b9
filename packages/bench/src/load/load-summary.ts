/** Combined result of all worker threads in one load run. */
export interface LoadSummary {
  readonly completed: number
  readonly failed: number
  /** Total bytes of all completed responses. */
  readonly bytes: number
  /** Completed responses per second. */
  readonly ratePerSecond: number
  readonly p50Ms: number
  readonly p95Ms: number
  readonly p99Ms: number
}
