import { readBoundedBody } from '@mimosarock/coordination/http/read-bounded-body.js'
import { request } from 'undici'
import { SMALL_RESPONSE_AGENT } from '../http/small-response-agent.js'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import type { StatusCall } from './status-call.js'

/** Maximum size of a response body. */
const MAXIMUM_RESPONSE_BYTES = 4_096

/**
 * Client for status calls over HTTP: sends a `GET` request to the status path, to which the endpoint responds with the
 * number of runs, for example `{"runs": 1}`. Each status call opens its own connection.
 */
export class HttpStatusCall implements StatusCall {
  /**
   * Reads from one endpoint how often the call with the key in `path` has run.
   * @param address IP address and port of the endpoint
   * @param path the route's status path with the key inserted
   * @param timeoutMs timeout for the whole call, in milliseconds
   * @returns number of runs
   * @throws {MimosarockError} ENDPOINT_FAILED if the call fails or the response does not contain the number of runs
   */
  async readRunCount (address: string, path: string, timeoutMs: number): Promise<number> {
    try {
      const response = await request(`http://${address}${path}`, { dispatcher: SMALL_RESPONSE_AGENT, reset: true, signal: AbortSignal.timeout(timeoutMs) })
      const parsed: unknown = JSON.parse((await readBoundedBody(response.body, MAXIMUM_RESPONSE_BYTES)).toString())
      const runs = (parsed as { runs?: unknown } | null)?.runs
      if (response.statusCode === 200 && typeof runs === 'number' && Number.isSafeInteger(runs) && runs >= 0) return runs
    } catch (error) {
      throw new MimosarockError(ResultCode.ENDPOINT_FAILED, `the status call to ${address} failed`, { cause: error })
    }
    throw new MimosarockError(ResultCode.ENDPOINT_FAILED, `the status call to ${address} did not return the number of runs`)
  }
}
