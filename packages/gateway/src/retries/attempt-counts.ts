/** Number of attempts made for one request. */
export interface AttemptCounts {
  /** All attempts, including those that are known not to have run. */
  readonly total: number
  /** Attempts that ran or may have run. */
  readonly runs: number
}
