import { DEFAULT_HEAD_LIMITS } from '@mimosarock/coordination/http/default-head-limits.js'
import { guardedConnector } from '@mimosarock/coordination/http/guarded-connector.js'
import { Agent, Client } from 'undici'
import type { Dispatcher } from 'undici'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { RunState } from '@mimosarock/schema/run-state.js'
import type { BoundedHttpClientOptions } from './bounded-http-client-options.js'
import type { BoundedHttpRequest } from './bounded-http-request.js'
import { endToEndHeaders } from './end-to-end-headers.js'
import type { HttpResponse } from './http-response.js'

/** Error codes of a failed connect: no connection was established and no byte of the request was sent. */
const CONNECT_ERROR_CODES = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'ETIMEDOUT', 'EADDRNOTAVAIL', 'UND_ERR_CONNECT_TIMEOUT'])
/**
 * Timeout of idle connections, in milliseconds. It is shorter than the keep-alive timeout of common servers, which
 * avoids sending a request on a connection that the server is closing.
 */
const IDLE_CONNECTION_MS = 4_000
/** What a server may send in answer to one request. Bodies are passed on as they arrive, at the rate of their reader. */
const RESPONSE_LIMITS = { ...DEFAULT_HEAD_LIMITS, responseBytes: Infinity }
/** Number of bytes of a response that are queued for its reader before reading from the server pauses. Each part takes over a hundred bytes, however short it is. */
const MAXIMUM_QUEUED_BYTES = 4_096

/**
 * HTTP client of one server with separate timeouts for connecting, the first byte, and silence within the response
 * body. After a timeout the connection pool is replaced, because the cause may affect every connection that was open at
 * that time: new requests use new connections, and requests in flight continue on the old ones.
 */
export class BoundedHttpClient {
  private readonly _options: BoundedHttpClientOptions
  private readonly _origin: string
  private _agent: Agent

  /**
   * @param options address, timeouts and connection limit
   */
  constructor (options: BoundedHttpClientOptions) {
    this._options = options
    this._origin = `http://${options.address}`
    this._agent = this._openAgent()
  }

  /**
   * Sends a request and resolves when the response head has arrived.
   * @param request the request and its timeouts
   * @param signal aborts the request, also while the response body is read
   * @throws {MimosarockError} ENDPOINT_FAILED or ENDPOINT_SILENT; run state `not-run` only if no connection was
   * established
   */
  async send (request: BoundedHttpRequest, signal: AbortSignal): Promise<HttpResponse> {
    signal.throwIfAborted()
    const dedicatedClient = request.ownConnection === true ? new Client(this._origin, this._connectionOptions()) : undefined
    let connected = dedicatedClient === undefined
    dedicatedClient?.once('connect', () => { connected = true })
    const abortController = new AbortController()
    const forwardAbort = (): void => abortController.abort(signal.reason)
    signal.addEventListener('abort', forwardAbort, { once: true })
    let timedOut = false
    const abortOnTimeout = (): void => {
      timedOut = true
      abortController.abort()
    }
    const firstByteTimer = setTimeout(abortOnTimeout, request.firstByteTimeoutMs)
    const acknowledgeTimer = request.acknowledgeTimeoutMs === undefined ? undefined : setTimeout(abortOnTimeout, request.acknowledgeTimeoutMs)
    const cleanUp = (): void => {
      clearTimeout(firstByteTimer)
      clearTimeout(acknowledgeTimer)
      signal.removeEventListener('abort', forwardAbort)
      dedicatedClient?.destroy().catch(() => {})
    }
    try {
      const response = await (dedicatedClient ?? this._agent).request({
        origin: this._origin,
        method: request.method as Dispatcher.HttpMethod,
        path: request.path,
        headers: request.headers,
        body: request.body as Dispatcher.DispatchOptions['body'],
        signal: abortController.signal,
        highWaterMark: MAXIMUM_QUEUED_BYTES,
        onInfo: () => clearTimeout(acknowledgeTimer)
      })
      clearTimeout(firstByteTimer)
      clearTimeout(acknowledgeTimer)
      return {
        status: response.statusCode,
        headers: endToEndHeaders(response.headers),
        body: this._readBody(response, request.silenceTimeoutMs, cleanUp)
      }
    } catch (error) {
      cleanUp()
      if (timedOut) this._replaceConnections()
      throw this._toMimosarockError(error, timedOut, connected)
    }
  }

  /** Closes all connections. Requests in flight fail. */
  async destroy (): Promise<void> {
    await this._agent.destroy()
  }

  private async * _readBody (response: Dispatcher.ResponseData, silenceTimeoutMs: number, cleanUp: () => void): AsyncGenerator<Uint8Array> {
    let timedOut = false
    const timer = setTimeout(() => {
      timedOut = true
      response.body.destroy()
    }, silenceTimeoutMs)
    // Without a listener, an error event between two reads would be uncaught and terminate the process.
    response.body.on('error', () => {})
    try {
      for await (const chunk of response.body) {
        timer.refresh()
        yield chunk as Uint8Array
        // The time that the consumer spends on a chunk does not count as silence of the server.
        timer.refresh()
      }
      if (timedOut) throw new Error('silence timeout')
    } catch (error) {
      if (timedOut) this._replaceConnections()
      throw this._toMimosarockError(error, timedOut, true)
    } finally {
      clearTimeout(timer)
      response.body.destroy()
      cleanUp()
    }
  }

  private _toMimosarockError (error: unknown, timedOut: boolean, connected: boolean): MimosarockError {
    const code = (error as { code?: string }).code ?? ''
    const notRun = !connected || CONNECT_ERROR_CODES.has(code)
    const run = notRun ? RunState.NOT_RUN : RunState.UNKNOWN
    if (timedOut) return new MimosarockError(ResultCode.ENDPOINT_SILENT, `${this._options.address} sent no data before the timeout`, { run, cause: error })
    return new MimosarockError(ResultCode.ENDPOINT_FAILED, `request to ${this._options.address} failed: ${String(error)}`, { run, cause: error })
  }

  private _replaceConnections (): void {
    const previousAgent = this._agent
    this._agent = this._openAgent()
    previousAgent.close().catch(() => {})
  }

  private _openAgent (): Agent {
    return new Agent({ ...this._connectionOptions(), connections: this._options.maximumConnections })
  }

  private _connectionOptions (): Client.Options {
    return {
      connect: guardedConnector(this._options.connectTimeoutMs, RESPONSE_LIMITS),
      keepAliveTimeout: IDLE_CONNECTION_MS,
      pipelining: 1,
      // Disabled: this class enforces the timeouts with its own timers, which are exact to the millisecond.
      headersTimeout: 0,
      bodyTimeout: 0
    }
  }
}
