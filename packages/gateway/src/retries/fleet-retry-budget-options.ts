/** What a fleet may send once more. */
export interface FleetRetryBudgetOptions {
  /** Share of the requests. */
  readonly ratio: number
  /** Number beside that share, for the whole fleet. */
  readonly allowance: number
  /** Window, in milliseconds. */
  readonly windowMs: number
}
