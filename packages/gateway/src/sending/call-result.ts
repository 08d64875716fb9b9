import type { AnswerHead } from '../model/answer-head.js'
import type { CallOutcome } from './call-outcome.js'

/** Result of a call to an endpoint. */
export interface CallResult {
  /** How it ended. */
  readonly outcome: CallOutcome
  /** Head of the answer, if one arrived. */
  readonly head: AnswerHead | undefined
  /** What went wrong, for the log. */
  readonly problem: string | undefined
}
