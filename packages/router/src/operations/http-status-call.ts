import { request } from 'undici'
import type { Dispatcher } from 'undici'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import type { StatusCall } from './status-call.js'

/** Largest answer that is read. */
const MAXIMUM_ANSWER_BYTES = 4_096

/** Asks by HTTP: `GET` on the status path, answered by `{"runs": 1}`. Each call has its own connection. */
export class HttpStatusCall implements StatusCall {
  /**
   * Asks one endpoint.
   * @param address IP number and port of the endpoint
   * @param path the route's status path with the key put in
   * @param timeoutMs bound on the whole call, in milliseconds
   * @throws {MimosarockError} ENDPOINT_FAILED
   */
  async runsAt (address: string, path: string, timeoutMs: number): Promise<number> {
    try {
      const answer = await request(`http://${address}${path}`, { reset: true, signal: AbortSignal.timeout(timeoutMs) })
      const parsed: unknown = JSON.parse(await readBounded(answer))
      const runs = (parsed as { runs?: unknown } | null)?.runs
      if (answer.statusCode === 200 && typeof runs === 'number' && Number.isSafeInteger(runs) && runs >= 0) return runs
    } catch (error) {
      throw new MimosarockError(ResultCode.ENDPOINT_FAILED, `the status call to ${address} failed`, { cause: error })
    }
    throw new MimosarockError(ResultCode.ENDPOINT_FAILED, `the status call to ${address} did not tell the runs`)
  }
}

async function readBounded (answer: Dispatcher.ResponseData): Promise<string> {
  const chunks: Buffer[] = []
  let bytes = 0
  for await (const chunk of answer.body) {
    bytes += (chunk as Buffer).length
    if (bytes > MAXIMUM_ANSWER_BYTES) throw new MimosarockError(ResultCode.ENDPOINT_FAILED, 'the answer to the status call is too large')
    chunks.push(chunk as Buffer)
  }
  return Buffer.concat(chunks).toString()
}
