/** Upper bound on the retries of the whole fleet for one service. */
export interface FleetRetryBudgetOptions {
  /** Maximum retries as a fraction of the requests in the window. */
  readonly ratio: number
  /** Additional retries per window, for the whole fleet. */
  readonly allowance: number
  /** Length of the sliding window, in milliseconds. */
  readonly windowMs: number
}
