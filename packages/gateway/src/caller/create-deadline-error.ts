import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { RunState } from '@mimosarock/schema/run-state.js'
import { notRunError } from './not-run-error.js'

/**
 * Creates the error of a request whose time limit has passed.
 * @param runs number of endpoints on which the request may have run
 */
export function createDeadlineError (runs: number): MimosarockError {
  if (runs === 0) return notRunError(ResultCode.DEADLINE_CANNOT_BE_MET, 'the deadline passed before the request was sent')
  return new MimosarockError(ResultCode.DEADLINE_EXCEEDED, 'the deadline passed before the response was complete', { run: RunState.UNKNOWN })
}
