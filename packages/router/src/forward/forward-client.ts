import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { RunState } from '@mimosarock/schema/run-state.js'
import { BoundedHttpClient } from '../http/bounded-http-client.js'
import type { HttpResponse } from '../http/http-response.js'
import type { DispatchAnswer } from './dispatch-answer.js'
import type { DispatchCall } from './dispatch-call.js'
import type { EndpointDispatch } from './endpoint-dispatch.js'
import type { ForwardClientOptions } from './forward-client-options.js'
import { ForwardCodec } from './forward-codec.js'
import { RefusalBody } from './refusal-body.js'

/** Largest refusal read from another router. */
const MAXIMUM_REFUSAL_BYTES = 65_536
const CANCEL_TIMEOUT_MS = 1_000

/** Hands calls to one other router, which owns their endpoint. */
export class ForwardClient implements EndpointDispatch {
  private readonly _options: ForwardClientOptions
  private readonly _client: BoundedHttpClient

  /**
   * @param options the other router's address and the bounds
   */
  constructor (options: ForwardClientOptions) {
    this._options = options
    this._client = new BoundedHttpClient(options)
  }

  /**
   * Forwards the call.
   * @param call the call
   * @param signal ends the call
   * @throws {MimosarockError} what the owner refused with, or OWNER_UNREACHABLE
   */
  async dispatch (call: DispatchCall, signal: AbortSignal): Promise<DispatchAnswer> {
    const answer = await this._forward(call, signal)
    const refusal = answer.headers[ForwardCodec.REFUSAL_HEADER]
    if (refusal !== undefined) throw RefusalBody.decode(await readText(answer))
    const headers = { ...answer.headers }
    const endpoint = headers[ForwardCodec.ENDPOINT_HEADER] ?? call.endpoint
    delete headers[ForwardCodec.ENDPOINT_HEADER]
    return { status: answer.status, headers, body: answer.body, endpoint }
  }

  /**
   * Asks the owner to end the call's stream.
   * @param call the call
   */
  async cancel (call: DispatchCall): Promise<void> {
    try {
      const answer = await this._client.send({
        method: 'POST',
        path: '/cancel',
        headers: { [ForwardCodec.CALL_HEADER]: ForwardCodec.encode({ ...call, headers: {} }) },
        body: undefined,
        firstByteTimeoutMs: CANCEL_TIMEOUT_MS,
        silenceTimeoutMs: CANCEL_TIMEOUT_MS
      }, AbortSignal.timeout(CANCEL_TIMEOUT_MS))
      await readText(answer)
    } catch {
      // The engine's resume window ends the stream.
    }
  }

  /** Closes the connections to the owner. */
  async destroy (): Promise<void> {
    await this._client.destroy()
  }

  /** The owner's own bound on the head, and as much again for what it does before it sends the call. */
  private _headBoundMs (call: DispatchCall): number {
    return call.streamed === true ? 2 * this._options.headTimeoutMs : this._options.firstByteTimeoutMs
  }

  private async _forward (call: DispatchCall, signal: AbortSignal): Promise<HttpResponse> {
    try {
      return await this._client.send({
        method: 'POST',
        path: '/forward',
        headers: { [ForwardCodec.CALL_HEADER]: ForwardCodec.encode(call) },
        body: call.body,
        firstByteTimeoutMs: call.waitMs + Math.min(call.remainingMs, this._headBoundMs(call)),
        acknowledgeTimeoutMs: this._options.acknowledgeTimeoutMs,
        silenceTimeoutMs: this._options.silenceTimeoutMs
      }, signal)
    } catch (error) {
      if (!(error instanceof MimosarockError)) throw error
      if (error.code === ResultCode.ENDPOINT_SILENT) throw ownerSilent(call, error)
      if (error.run !== RunState.NOT_RUN) throw error
      throw new MimosarockError(ResultCode.OWNER_UNREACHABLE, `the owner of ${call.endpoint} can not be reached`, { cause: error })
    }
  }
}

// The owner may yet run the call when it wakes, so the run state stays unknown.
function ownerSilent (call: DispatchCall, cause: MimosarockError): MimosarockError {
  return new MimosarockError(ResultCode.OWNER_UNREACHABLE, `the owner of ${call.endpoint} does not answer`, { run: cause.run, cause })
}

async function readText (answer: HttpResponse): Promise<string> {
  const chunks: Uint8Array[] = []
  let bytes = 0
  for await (const chunk of answer.body) {
    bytes += chunk.length
    if (bytes > MAXIMUM_REFUSAL_BYTES) throw new MimosarockError(ResultCode.PEER_PROTOCOL, 'a refusal is too large', { run: RunState.UNKNOWN })
    chunks.push(chunk)
  }
  return Buffer.concat(chunks).toString('utf8')
}
