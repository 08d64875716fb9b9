import { promisesNotRun } from '@mimosarock/schema/promises-not-run.js'
import type { ResponseHead } from '../model/response-head.js'
import { CallOutcome } from './call-outcome.js'
import type { EndpointCallRequest } from './endpoint-call-request.js'
import type { UnusableResponse } from './unusable-response.js'

const FIRST_FAILURE_STATUS = 300

/**
 * Returns why a response is no answer that the caller of a request may get; undefined if it is one. This is the only
 * place that decides what makes received bytes the answer to a request, and what its status promises.
 * @param head head of the response
 * @param request the request that waits for an answer on the connection
 */
export function findUnusableResponse (head: ResponseHead, request: Pick<EndpointCallRequest, 'id' | 'isIdempotent'>): UnusableResponse | undefined {
  const problem = findInvalidity(head, request)
  if (problem !== undefined) return { outcome: CallOutcome.INVALID, problem }
  if (head.isNotRun) return { outcome: CallOutcome.REJECTED, problem: `status ${head.status}` }
  // The caller would send the request again, although the endpoint may have run it.
  if (promisesNotRun(head.status) && !request.isIdempotent) {
    return { outcome: CallOutcome.INVALID, problem: `status ${head.status} without the statement that the request did not run` }
  }
  return undefined
}

function findInvalidity ({ status, requestId, isSigned, isNotRun, isEncoded }: ResponseHead, { id }: Pick<EndpointCallRequest, 'id'>): string | undefined {
  if (requestId !== undefined && requestId !== id) return 'response to another request'
  const isSuccess = status < FIRST_FAILURE_STATUS
  if (isSuccess && !isSigned) return 'successful response without a signature'
  if (isSuccess && isNotRun) return 'successful response with the statement that the request did not run'
  // Endpoints state it in each response: these are bytes that follow the response to the previous request on the connection, or a late copy of it.
  if (requestId === undefined) return 'response without a request id'
  if (isEncoded) return 'unexpected content encoding'
  return undefined
}
