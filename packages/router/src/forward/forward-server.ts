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
import { writeAnswer } from './write-answer.js'

/** Room for a call with the largest headers that a caller may send. */
const MAXIMUM_HEADER_BYTES = 524_288
const REFUSED = 503

/** Takes calls that other routers forward to this one, as owner of their endpoints. Never forwards them on. */
export class ForwardServer {
  private readonly _options: ForwardServerOptions
  private readonly _dispatch: EndpointDispatch
  private readonly _server: Server
  private _inFlight = 0

  /**
   * @param options address and bounds
   * @param dispatch runs calls at this router's endpoints
   */
  constructor (options: ForwardServerOptions, dispatch: EndpointDispatch) {
    this._options = options
    this._dispatch = dispatch
    this._server = createServer({ maxHeaderSize: MAXIMUM_HEADER_BYTES }, (request, response) => {
      this._answer(request, response).catch(() => response.destroy())
    })
  }

  /** Forwards that have no whole answer yet. */
  get inFlight (): number {
    return this._inFlight
  }

  /**
   * Starts to listen.
   * @returns the address, with the port that the system picked
   */
  async start (): Promise<string> {
    return await listen(this._server, this._options.address)
  }

  /** Takes no new connections and resolves when those open have ended. */
  async stop (): Promise<void> {
    await closeServer(this._server)
  }

  /** Drops all connections. */
  destroy (): void {
    this._server.closeAllConnections()
  }

  private async _answer (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const gone = new AbortController()
    this._inFlight += 1
    response.once('close', () => {
      this._inFlight -= 1
      if (!response.writableFinished) gone.abort()
    })
    try {
      // Tells the entry router at once that this process runs, long before the engine answers.
      response.writeProcessing()
      const call = await this._readCall(request)
      if (request.url === '/cancel') {
        await this._dispatch.cancel(call)
        response.writeHead(204).end()
        return
      }
      const answer = await this._dispatch.dispatch(call, gone.signal)
      response.writeHead(answer.status, { ...answer.headers, [ForwardCodec.ENDPOINT_HEADER]: answer.endpoint })
      response.flushHeaders()
      await writeAnswer(response, answer.body, this._options.drainTimeoutMs)
    } catch (error) {
      this._refuse(response, error)
    }
  }

  private async _readCall (request: IncomingMessage): Promise<ReturnType<typeof ForwardCodec.decode>> {
    const header = request.headers[ForwardCodec.CALL_HEADER]
    const text = typeof header === 'string' ? header : undefined
    const length = Number(request.headers['content-length'] ?? Infinity)
    if (length > this._options.maximumKeptBodyBytes) return ForwardCodec.decode(text, request)
    const body = await readBody(request, this._options.maximumKeptBodyBytes)
    return ForwardCodec.decode(text, body.length === 0 ? undefined : body)
  }

  private _refuse (response: ServerResponse, error: unknown): void {
    if (response.headersSent || response.destroyed) {
      response.destroy()
      return
    }
    const refusal = error instanceof MimosarockError
      ? error
      : new MimosarockError(ResultCode.ENDPOINT_FAILED, String(error), { run: RunState.UNKNOWN })
    const text = RefusalBody.encode(refusal)
    response.writeHead(REFUSED, { [ForwardCodec.REFUSAL_HEADER]: String(refusal.code), 'content-length': Buffer.byteLength(text) })
    response.end(text)
  }
}
