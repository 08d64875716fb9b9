import type { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'

/** What is to follow a failed try. */
export interface RetryDecision {
  /** Whether the call is to be tried again, on another connection. */
  readonly retry: boolean
  /** Pause before the next try, in milliseconds. */
  readonly delayMs: number
  /** Whether the endpoint that failed is to be passed over if the pool has another. */
  readonly avoidEndpoint: boolean
  /** What the caller is told if it is not tried again. */
  readonly error: MimosarockError
}
