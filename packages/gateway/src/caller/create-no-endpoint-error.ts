import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { RunState } from '@mimosarock/schema/run-state.js'
import { notRunError } from './not-run-error.js'

/**
 * Creates the error of a request for which no endpoint is left.
 * @param runs number of endpoints on which the request may have run
 * @param retryAfterMs time until an endpoint may be available, in milliseconds; undefined if it is not known
 */
export function createNoEndpointError (runs: number, retryAfterMs?: number): MimosarockError {
  if (runs === 0) return notRunError(ResultCode.NO_ENDPOINT, 'the service has no available endpoint', retryAfterMs)
  return new MimosarockError(ResultCode.ENDPOINT_FAILED, 'no other endpoint is available', { run: RunState.UNKNOWN })
}
