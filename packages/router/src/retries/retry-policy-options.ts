import type { RetryBudget } from '@mimosarock/placement/retry-budget.js'

/** Budget and limits of a retry policy. */
export interface RetryPolicyOptions {
  readonly budget: RetryBudget
  /** Maximum number of attempts of one call, including the first. */
  readonly maximumAttempts: number
  /** Backoff before the second attempt, in milliseconds; doubles with each further attempt. */
  readonly baseDelayMs: number
  /** Time that must be left until the deadline after the backoff, in milliseconds. */
  readonly minimumRemainingMs: number
  /** Returns random numbers in the range [0, 1). */
  readonly random: () => number
}
