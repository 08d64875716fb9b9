import { CallOutcome } from '../sending/call-outcome.js'
import type { CallResult } from '../sending/call-result.js'
import { AnswerVerdict } from './answer-verdict.js'
import type { CallCircumstances } from './call-circumstances.js'

const FIRST_CALLER_ERROR_STATUS = 400
const FIRST_SERVER_ERROR_STATUS = 500
const MISDIRECTED_STATUS = 421
/** Minimum time without a response from which a time-out is a failure of the endpoint; callers may allow less than any endpoint takes. */
const MINIMUM_TIMEOUT_MS = 250

/**
 * Returns what a call tells of its endpoint. Server errors, lost connections, calls that were given up and time-outs are failures.
 * Responses that state a mistake of the caller (4xx) are none, and those that state that the request did not run tell nothing.
 * @param result result of the call
 * @param circumstances what else is known of the call
 */
export function judgeAnswer ({ outcome, head }: CallResult, { isPaused, isDeadlineOver, elapsedMs }: CallCircumstances): AnswerVerdict {
  const status = head?.status ?? 0
  const isCallerError = status >= FIRST_CALLER_ERROR_STATUS && status < FIRST_SERVER_ERROR_STATUS
  switch (outcome) {
    case CallOutcome.COMPLETE:
      // Another endpoint may have the address.
      if (status === MISDIRECTED_STATUS) return AnswerVerdict.NONE
      if (status < FIRST_SERVER_ERROR_STATUS) return AnswerVerdict.ANSWERED
      return head?.isSigned === true ? AnswerVerdict.FAILED : AnswerVerdict.NONE
    case CallOutcome.NO_ANSWER:
    case CallOutcome.BROKEN:
      // An endpoint closes connections whose responses stay unread, which is not its own failure.
      return isPaused || isCallerError ? AnswerVerdict.NONE : AnswerVerdict.FAILED
    case CallOutcome.ABORTED:
      return isDeadlineOver && head === undefined && elapsedMs >= MINIMUM_TIMEOUT_MS ? AnswerVerdict.FAILED : AnswerVerdict.NONE
    default:
      return AnswerVerdict.NONE
  }
}
