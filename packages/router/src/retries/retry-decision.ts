import type { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'

/** Decision of the retry policy about a failed attempt. */
export interface RetryDecision {
  /** Whether to retry the call, on another connection. */
  readonly retry: boolean
  /** Backoff before the next attempt, in milliseconds. */
  readonly delayMs: number
  /** Whether the next attempt must avoid the failed endpoint if the pool has another one. */
  readonly avoidEndpoint: boolean
  /** Error returned to the caller if the call is not retried. */
  readonly error: MimosarockError
}
