import type { CallOutcome } from './call-outcome.js'

/** Why a response of an endpoint can't be passed on to the caller. */
export interface UnusableResponse {
  /** How the call ends. */
  readonly outcome: CallOutcome
  /** Description, for the log. */
  readonly problem: string
}
