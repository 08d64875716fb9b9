import type { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'

/** A failed attempt of a call, as input to the retry policy. */
export interface FailedAttempt {
  /** The failure; its run state says whether a byte of the call may have reached an endpoint. */
  readonly error: MimosarockError
  /** Number of attempts so far, including this one, without those that ended in a redirect. */
  readonly attempts: number
  /** Whether the route declares its calls repeatable; chats always are. */
  readonly repeatable: boolean
  /** Whether the body of the call can be sent again, because it is buffered or has not been read yet. */
  readonly bodyAvailable: boolean
  /** Whether a byte of a response has been sent to the caller. */
  readonly responseStarted: boolean
  /** Time left until the deadline of the call, in milliseconds. */
  readonly remainingMs: number
}
