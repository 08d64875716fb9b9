import { Agent, Client } from 'undici'
import type { Dispatcher } from 'undici'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { RunState } from '@mimosarock/schema/run-state.js'
import type { BoundedHttpClientOptions } from './bounded-http-client-options.js'
import type { BoundedHttpRequest } from './bounded-http-request.js'
import { endToEndHeaders } from './end-to-end-headers.js'
import type { HttpAnswer } from './http-answer.js'

/** Errors that mean that no connection stood, so that no byte of the call was sent. */
const NOT_CONNECTED = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'ETIMEDOUT', 'EADDRNOTAVAIL', 'UND_ERR_CONNECT_TIMEOUT'])
/** Idle connections are dropped before the usual server does so, to keep calls off connections that close. */
const IDLE_CONNECTION_MS = 4_000

/**
 * Calls one HTTP server with a bound on each wait: connecting, the first byte, silence within the answer.
 * After a silence the connections that were open then get no new calls, since what silenced one may have
 * silenced its kin; calls that run on them go on.
 */
export class BoundedHttpClient {
  private readonly _options: BoundedHttpClientOptions
  private readonly _origin: string
  private _agent: Agent

  /**
   * @param options address and bounds
   */
  constructor (options: BoundedHttpClientOptions) {
    this._options = options
    this._origin = `http://${options.address}`
    this._agent = this._openAgent()
  }

  /**
   * Sends a call and resolves with the head of the answer.
   * @param request the call
   * @param signal ends the call
   * @throws {MimosarockError} ENDPOINT_FAILED or ENDPOINT_SILENT; run state `not-run` only if no connection stood
   */
  async send (request: BoundedHttpRequest, signal: AbortSignal): Promise<HttpAnswer> {
    signal.throwIfAborted()
    const own = request.ownConnection === true ? new Client(this._origin, this._connectionOptions()) : undefined
    let connected = own === undefined
    own?.once('connect', () => { connected = true })
    const ending = new AbortController()
    const follow = (): void => ending.abort(signal.reason)
    signal.addEventListener('abort', follow, { once: true })
    let silent = false
    const giveUp = (): void => {
      silent = true
      ending.abort()
    }
    const timer = setTimeout(giveUp, request.firstByteTimeoutMs)
    const acknowledgeTimer = request.acknowledgeTimeoutMs === undefined ? undefined : setTimeout(giveUp, request.acknowledgeTimeoutMs)
    const finish = (): void => {
      clearTimeout(timer)
      clearTimeout(acknowledgeTimer)
      signal.removeEventListener('abort', follow)
      own?.destroy().catch(() => {})
    }
    try {
      const answer = await (own ?? this._agent).request({
        origin: this._origin,
        method: request.method as Dispatcher.HttpMethod,
        path: request.path,
        headers: request.headers,
        body: request.body as Dispatcher.DispatchOptions['body'],
        signal: ending.signal,
        onInfo: () => clearTimeout(acknowledgeTimer)
      })
      clearTimeout(timer)
      clearTimeout(acknowledgeTimer)
      return {
        status: answer.statusCode,
        headers: endToEndHeaders(answer.headers),
        body: this._readBody(answer, request.silenceTimeoutMs, finish)
      }
    } catch (error) {
      finish()
      if (silent) this._replaceConnections()
      throw this._explain(error, silent, connected)
    }
  }

  /** Closes all connections; calls in flight fail. */
  async destroy (): Promise<void> {
    await this._agent.destroy()
  }

  private async * _readBody (answer: Dispatcher.ResponseData, silenceTimeoutMs: number, finish: () => void): AsyncGenerator<Uint8Array> {
    let silent = false
    const timer = setTimeout(() => {
      silent = true
      answer.body.destroy()
    }, silenceTimeoutMs)
    // An error that comes while nobody reads must not end the process.
    answer.body.on('error', () => {})
    try {
      for await (const chunk of answer.body) {
        timer.refresh()
        yield chunk as Uint8Array
        // The time that the reader takes is not the endpoint's silence.
        timer.refresh()
      }
      if (silent) throw new Error('silent')
    } catch (error) {
      if (silent) this._replaceConnections()
      throw this._explain(error, silent, true)
    } finally {
      clearTimeout(timer)
      answer.body.destroy()
      finish()
    }
  }

  private _explain (error: unknown, silent: boolean, connected: boolean): MimosarockError {
    const code = (error as { code?: string }).code ?? ''
    const notRun = !connected || NOT_CONNECTED.has(code)
    const run = notRun ? RunState.NOT_RUN : RunState.UNKNOWN
    if (silent) return new MimosarockError(ResultCode.ENDPOINT_SILENT, `${this._options.address} fell silent`, { run, cause: error })
    return new MimosarockError(ResultCode.ENDPOINT_FAILED, `${this._options.address} failed: ${String(error)}`, { run, cause: error })
  }

  private _replaceConnections (): void {
    const old = this._agent
    this._agent = this._openAgent()
    old.close().catch(() => {})
  }

  private _openAgent (): Agent {
    return new Agent({ ...this._connectionOptions(), connections: this._options.maximumConnections })
  }

  private _connectionOptions (): Client.Options {
    return {
      connect: { timeout: this._options.connectTimeoutMs },
      keepAliveTimeout: IDLE_CONNECTION_MS,
      pipelining: 1,
      // The bounds are kept here, by timers that are exact to the millisecond.
      headersTimeout: 0,
      bodyTimeout: 0
    }
  }
}
