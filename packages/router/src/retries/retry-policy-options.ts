import type { RetryBudget } from '@mimosarock/placement/retry-budget.js'

/** What a retry policy works with. */
export interface RetryPolicyOptions {
  readonly budget: RetryBudget
  /** Most tries of one call. */
  readonly maximumTries: number
  /** Pause before the second try, in milliseconds; doubles from try to try. */
  readonly baseDelayMs: number
  /** Time that must be left to the deadline for another try, in milliseconds. */
  readonly minimumRemainingMs: number
  /** Gives numbers from 0 up to, not including, 1. */
  readonly random: () => number
}
