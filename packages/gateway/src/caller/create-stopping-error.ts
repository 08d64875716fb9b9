import type { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { notRunError } from './not-run-error.js'

/** Creates the error of a request that a stopping router refuses, since it may not end before the process does. */
export function createStoppingError (): MimosarockError {
  return notRunError(ResultCode.ROUTER_STOPPING, 'the router is stopping and cannot finish the request in time', 0)
}
