import { readBoundedBody } from '@mimosarock/coordination/http/read-bounded-body.js'
import { RESPONSE_TOO_LONG } from '@mimosarock/coordination/http/response-too-long.js'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { RunState } from '@mimosarock/schema/run-state.js'
import { BoundedHttpClient } from '../http/bounded-http-client.js'
import type { HttpResponse } from '../http/http-response.js'
import type { DispatchResponse } from './dispatch-response.js'
import type { DispatchCall } from './dispatch-call.js'
import type { EndpointDispatch } from './endpoint-dispatch.js'
import type { ForwardClientOptions } from './forward-client-options.js'
import { ForwardCodec } from './forward-codec.js'
import { RefusalBody } from './refusal-body.js'

/** Maximum size of a refusal from another router. */
const MAXIMUM_REFUSAL_BYTES = 65_536
const CANCEL_TIMEOUT_MS = 1_000

/** Forwards calls to one other router, which owns their endpoints. */
export class ForwardClient implements EndpointDispatch {
  private readonly _options: ForwardClientOptions
  private readonly _client: BoundedHttpClient

  /**
   * @param options address of the other router and timeouts
   */
  constructor (options: ForwardClientOptions) {
    this._options = options
    this._client = new BoundedHttpClient(options)
  }

  /**
   * Forwards the call to the owner and resolves when the response head has been received.
   * @param call a streamed body is consumed
   * @param signal aborts the call
   * @throws {MimosarockError} the owner's refusal, OWNER_UNREACHABLE if the owner can't be reached or doesn't respond
   * in time, ENDPOINT_FAILED if an established connection fails, or PEER_PROTOCOL if the refusal is too large
   */
  async dispatch (call: DispatchCall, signal: AbortSignal): Promise<DispatchResponse> {
    const response = await this._forward(call, signal)
    const refusal = response.headers[ForwardCodec.REFUSAL_HEADER]
    if (refusal !== undefined) throw RefusalBody.decode(await readText(response))
    const headers = { ...response.headers }
    const endpoint = headers[ForwardCodec.ENDPOINT_HEADER] ?? call.endpoint
    delete headers[ForwardCodec.ENDPOINT_HEADER]
    return { status: response.status, headers, body: response.body, endpoint }
  }

  /**
   * Requests the owner to end the stream of a call; failures are ignored.
   * @param call the call that opened the stream
   */
  async cancel (call: DispatchCall): Promise<void> {
    try {
      const response = await this._client.send({
        method: 'POST',
        path: '/cancel',
        headers: { [ForwardCodec.CALL_HEADER]: ForwardCodec.encode({ ...call, headers: {} }) },
        body: undefined,
        firstByteTimeoutMs: CANCEL_TIMEOUT_MS,
        silenceTimeoutMs: CANCEL_TIMEOUT_MS
      }, AbortSignal.timeout(CANCEL_TIMEOUT_MS))
      await readText(response)
    } catch {
      // The stream ends with the engine's resume window.
    }
  }

  /** Closes the connections to the owner. */
  async destroy (): Promise<void> {
    await this._client.destroy()
  }

  /**
   * Returns the timeout for the response head. For streamed responses it is twice the owner's own timeout, as the owner
   * also spends time before it sends the call.
   */
  private _headTimeoutMs (call: DispatchCall): number {
    return call.streamed === true ? 2 * this._options.headTimeoutMs : this._options.firstByteTimeoutMs
  }

  private async _forward (call: DispatchCall, signal: AbortSignal): Promise<HttpResponse> {
    try {
      return await this._client.send({
        method: 'POST',
        path: '/forward',
        headers: { [ForwardCodec.CALL_HEADER]: ForwardCodec.encode(call) },
        body: call.body,
        firstByteTimeoutMs: call.waitMs + Math.min(call.remainingMs, this._headTimeoutMs(call)),
        acknowledgeTimeoutMs: this._options.acknowledgeTimeoutMs,
        silenceTimeoutMs: this._options.silenceTimeoutMs
      }, signal)
    } catch (error) {
      if (!(error instanceof MimosarockError)) throw error
      if (error.code === ResultCode.ENDPOINT_SILENT) throw ownerTimeoutError(call, error)
      if (error.run !== RunState.NOT_RUN) throw error
      throw new MimosarockError(ResultCode.OWNER_UNREACHABLE, `the owner of ${call.endpoint} cannot be reached`, { cause: error })
    }
  }
}

// An owner that received the call may still execute it once it resumes, so the run state of the timeout is retained.
function ownerTimeoutError (call: DispatchCall, cause: MimosarockError): MimosarockError {
  return new MimosarockError(ResultCode.OWNER_UNREACHABLE, `the owner of ${call.endpoint} does not respond`, { run: cause.run, cause })
}

async function readText ({ body }: HttpResponse): Promise<string> {
  try {
    return (await readBoundedBody(body, MAXIMUM_REFUSAL_BYTES)).toString('utf8')
  } catch (error) {
    if ((error as { code?: unknown }).code !== RESPONSE_TOO_LONG) throw error
    throw new MimosarockError(ResultCode.PEER_PROTOCOL, 'a refusal exceeds the maximum size', { run: RunState.UNKNOWN })
  }
}
