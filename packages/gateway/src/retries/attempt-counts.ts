/** Number of attempts made for one request. */
export interface AttemptCounts {
  /** All attempts, including those that certainly did not run. */
  readonly tries: number
  /** Attempts that ran or may have run. */
  readonly runs: number
}
