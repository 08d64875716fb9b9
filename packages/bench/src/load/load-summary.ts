/** What all threads saw in one run of load. */
export interface LoadSummary {
  readonly completed: number
  readonly failed: number
  /** Bytes of all answers. */
  readonly bytes: number
  /** Answers a second. */
  readonly ratePerSecond: number
  readonly p50Ms: number
  readonly p95Ms: number
  readonly p99Ms: number
}
