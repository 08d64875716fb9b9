import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { RunState } from '@mimosarock/schema/run-state.js'
import { CallOutcome } from '../sending/call-outcome.js'
import type { CallResult } from '../sending/call-result.js'
import { createDeadlineError } from './create-deadline-error.js'
import { notRunError } from './not-run-error.js'

/**
 * Creates the error of a request whose last call failed and is not retried.
 * @param result result of the call
 * @param runs number of endpoints on which the request may have run
 */
export function createCallError (result: CallResult, runs: number): MimosarockError {
  const problem = result.problem ?? result.outcome
  if (runs === 0) {
    const code = result.outcome === CallOutcome.REJECTED ? ResultCode.OVERLOADED : ResultCode.NO_ENDPOINT
    return notRunError(code, `no endpoint accepted the request: ${problem}`)
  }
  if (result.outcome === CallOutcome.ABORTED) return createDeadlineError(runs)
  return new MimosarockError(ResultCode.ENDPOINT_FAILED, `the endpoint failed: ${problem}`, { run: RunState.UNKNOWN })
}
