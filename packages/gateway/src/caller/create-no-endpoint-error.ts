import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { RunState } from '@mimosarock/schema/run-state.js'
import type { Homes } from '../homes/homes.js'
import { notRunError } from './not-run-error.js'

/** Retry delay while a request has no endpoint in its home regions; an endpoint takes about a second to register. */
const HOME_RETRY_MS = 1_000

/**
 * Creates the error of a request for which no endpoint is left.
 * @param runs number of endpoints on which the request may have run
 * @param retryAfterMs time until an endpoint may be available, in milliseconds; undefined if it is not known
 * @param homes regions in which alone the request may run; undefined if it may run everywhere
 */
export function createNoEndpointError (runs: number, retryAfterMs?: number, homes?: Homes): MimosarockError {
  if (runs === 0 && homes !== undefined) {
    const regions = homes.regions.join(', ') || 'none'
    return notRunError(ResultCode.HOME_UNAVAILABLE, `the service has no available endpoint in the home regions of the request: ${regions}`, retryAfterMs ?? HOME_RETRY_MS)
  }
  if (runs === 0) return notRunError(ResultCode.NO_ENDPOINT, 'the service has no available endpoint', retryAfterMs)
  return new MimosarockError(ResultCode.ENDPOINT_FAILED, 'no other endpoint is available', { run: RunState.UNKNOWN })
}
