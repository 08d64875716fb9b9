import type { ResponseHead } from '../model/response-head.js'
import type { CallOutcome } from './call-outcome.js'

/** Result of a call to an endpoint. */
export interface CallResult {
  /** Outcome of the call. */
  readonly outcome: CallOutcome
  /** Head of the response; undefined if none arrived. */
  readonly head: ResponseHead | undefined
  /** Whether the call failed because its connection did, after it was sent. */
  readonly isConnectionLost: boolean
  /** Whether the call was ended since its response did not; undefined if not. */
  readonly isEndless?: boolean
  /** Description of the failure, for the log; undefined after a complete response. */
  readonly problem: string | undefined
}
