import type { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'

/** One try of a call that failed, as the retry policy sees it. */
export interface FailedTry {
  /** What failed; its run state tells whether a byte of the call may have reached an endpoint. */
  readonly error: MimosarockError
  /** Tries made so far, this one included. */
  readonly tries: number
  /** Whether the route declares that its calls may be repeated; chats always may. */
  readonly repeatable: boolean
  /** Whether the call's body can be sent once more: held whole, or not yet read. */
  readonly bodyAvailable: boolean
  /** Whether a byte of an answer has been given to the caller. */
  readonly answerStarted: boolean
  /** Time left to the caller's deadline, in milliseconds. */
  readonly remainingMs: number
}
