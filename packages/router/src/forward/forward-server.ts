import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { RunState } from '@mimosarock/schema/run-state.js'
import { closeServer } from '../http/close-server.js'
import { listen } from '../http/listen.js'
import { readBody } from '../http/read-body.js'
import type { EndpointDispatch } from './endpoint-dispatch.js'
import { ForwardCodec } from './forward-codec.js'
import type { ForwardServerOptions } from './forward-server-options.js'
import { RefusalBody } from './refusal-body.js'
import { writeResponseBody } from './write-response-body.js'

/** Large enough for an encoded call with the largest headers that a caller may send. */
const MAXIMUM_HEADER_BYTES = 524_288
const REFUSAL_STATUS = 503

/** Receives calls that other routers forward to this router as owner of their endpoints. Never forwards them again. */
export class ForwardServer {
  private readonly _options: ForwardServerOptions
  private readonly _dispatch: EndpointDispatch
  private readonly _server: Server
  private _inFlight = 0

  /**
   * @param options address and limits
   * @param dispatch executes calls at the endpoints that this router owns
   */
  constructor (options: ForwardServerOptions, dispatch: EndpointDispatch) {
    this._options = options
    this._dispatch = dispatch
    this._server = createServer({ maxHeaderSize: MAXIMUM_HEADER_BYTES }, (request, response) => {
      this._handle(request, response).catch(() => response.destroy())
    })
  }

  /** Number of forwarded calls whose response is not complete yet. */
  get inFlight (): number {
    return this._inFlight
  }

  /**
   * Starts listening.
   * @returns the address with the actual port
   */
  async start (): Promise<string> {
    return await listen(this._server, this._options.address)
  }

  /** Stops accepting connections and resolves once the open ones have closed. */
  async stop (): Promise<void> {
    await closeServer(this._server)
  }

  /** Closes all connections immediately. */
  destroy (): void {
    this._server.closeAllConnections()
  }

  private async _handle (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const requestAbort = new AbortController()
    this._inFlight += 1
    response.once('close', () => {
      this._inFlight -= 1
      if (!response.writableFinished) requestAbort.abort()
    })
    try {
      // Acknowledges to the entry router that this process is running, long before the engine responds.
      response.writeProcessing()
      const call = await this._readCall(request)
      if (request.url === '/cancel') {
        await this._dispatch.cancel(call)
        response.writeHead(204).end()
        return
      }
      const endpointResponse = await this._dispatch.dispatch(call, requestAbort.signal)
      response.writeHead(endpointResponse.status, { ...endpointResponse.headers, [ForwardCodec.ENDPOINT_HEADER]: endpointResponse.endpoint })
      response.flushHeaders()
      await writeResponseBody(response, endpointResponse.body, this._options.drainTimeoutMs)
    } catch (error) {
      this._sendRefusal(response, error)
    }
  }

  private async _readCall (request: IncomingMessage): Promise<ReturnType<typeof ForwardCodec.decode>> {
    const header = request.headers[ForwardCodec.CALL_HEADER]
    const text = typeof header === 'string' ? header : undefined
    const length = Number(request.headers['content-length'] ?? Infinity)
    if (length > this._options.maximumBufferedBodyBytes) return ForwardCodec.decode(text, request)
    const body = await readBody(request, this._options.maximumBufferedBodyBytes)
    return ForwardCodec.decode(text, body.length === 0 ? undefined : body)
  }

  private _sendRefusal (response: ServerResponse, error: unknown): void {
    if (response.headersSent || response.destroyed) {
      response.destroy()
      return
    }
    const refusal = error instanceof MimosarockError
      ? error
      : new MimosarockError(ResultCode.ENDPOINT_FAILED, String(error), { run: RunState.UNKNOWN })
    const text = RefusalBody.encode(refusal)
    response.writeHead(REFUSAL_STATUS, { [ForwardCodec.REFUSAL_HEADER]: String(refusal.code), 'content-length': Buffer.byteLength(text) })
    response.end(text)
  }
}
