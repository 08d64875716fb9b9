import { randomUUID } from 'node:crypto'
import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Duplex } from 'node:stream'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { RunState } from '@mimosarock/schema/run-state.js'
import { closeServer } from '../http/close-server.js'
import { listen } from '../http/listen.js'
import type { CallerServerOptions } from './caller-server-options.js'
import type { Exchange } from './exchange.js'
import type { ExchangeHandler } from './exchange-handler.js'
import { Problem } from './problem.js'

/** Interval at which Node checks connections for expired timeouts. */
const TIMEOUT_CHECK_MS = 500
/** Maximum size of an unread body that is discarded so that the connection of a rejected request stays open for reuse. */
const MAXIMUM_DISCARDED_BYTES = 65_536
const STATUS_PATHS = new Set(['/livez', '/readyz', '/metrics'])

/** HTTP server for callers, load balancer health checks and metric scrapers. */
export class CallerServer {
  private readonly _options: CallerServerOptions
  private readonly _server: Server
  private _inFlight = 0
  private _closing = false

  /**
   * @param options address, limits and handlers
   */
  constructor (options: CallerServerOptions) {
    this._options = options
    this._server = createServer({
      maxHeaderSize: options.maximumHeaderBytes,
      headersTimeout: options.headerTimeoutMs,
      requestTimeout: options.bodyTimeoutMs,
      connectionsCheckingInterval: TIMEOUT_CHECK_MS
    }, (request, response) => {
      this._serve(request, response).catch((error) => {
        options.eventLog.warn('request-failed', { error: String(error) })
        response.destroy()
      })
    })
    this._server.on('clientError', (error: NodeJS.ErrnoException, socket) => this._rejectConnection(error, socket))
  }

  /** Number of requests whose response is not complete yet. */
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

  /** Adds `connection: close` to all further responses, so that callers reconnect to other routers. */
  announceClose (): void {
    this._closing = true
  }

  /** Stops accepting connections and resolves once the open ones have closed. */
  async stop (): Promise<void> {
    await closeServer(this._server)
  }

  /** Closes all connections immediately. */
  destroy (): void {
    this._server.closeAllConnections()
  }

  private async _serve (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const callerAbort = new AbortController()
    const exchange: Exchange = {
      requestId: randomUUID(),
      request,
      response,
      callerSignal: callerAbort.signal,
      startedAt: this._options.clock.now(),
      fields: {}
    }
    this._inFlight += 1
    this._options.metrics.requestsInFlight.inc()
    response.once('close', () => {
      // An abort creates a stack trace and calls all listeners, which is useless after a complete response.
      if (!response.writableFinished) callerAbort.abort()
      this._inFlight -= 1
      this._options.metrics.requestsInFlight.dec()
      this._logRequest(exchange)
    })
    if (this._closing) response.setHeader('connection', 'close')
    try {
      await this._handlerFor(request).handle(exchange)
      if (exchange.fields.code === undefined) this._options.metrics.countResult(ResultCode.OK)
    } catch (error) {
      this._sendError(exchange, error)
    }
  }

  private _handlerFor (request: IncomingMessage): ExchangeHandler {
    const path = (request.url ?? '/').split('?', 1)[0] ?? '/'
    if (path === '/v1/chat/completions') {
      requireMethod(request, 'POST')
      return this._options.chats
    }
    if (path.startsWith('/services/')) return this._options.services
    if (path === '/v1/models' || path.startsWith('/v1/models/')) {
      requireMethod(request, 'GET')
      return this._options.models
    }
    if (STATUS_PATHS.has(path)) return this._options.status
    throw new MimosarockError(ResultCode.PATH_UNKNOWN, `no resource exists at ${path}`)
  }

  private _sendError (exchange: Exchange, error: unknown): void {
    const mimosarockError = error instanceof MimosarockError
      ? error
      : new MimosarockError(ResultCode.ENDPOINT_FAILED, 'the request failed inside the router', { run: RunState.UNKNOWN, cause: error })
    if (!(error instanceof MimosarockError)) {
      this._options.eventLog.warn('request-error', { request_id: exchange.requestId, error: String((error as Error).stack ?? error) })
    }
    exchange.fields.code = mimosarockError.code
    exchange.fields.run = mimosarockError.run
    exchange.fields.detail = mimosarockError.message
    this._options.metrics.countResult(mimosarockError.code)
    const { request, response } = exchange
    if (response.headersSent || response.destroyed) {
      response.destroy()
      return
    }
    const problem = new Problem(mimosarockError, exchange.requestId)
    const unread = Number(request.headers['content-length'] ?? (request.headers['transfer-encoding'] === undefined ? 0 : Infinity))
    const closesConnection = !request.complete && unread > MAXIMUM_DISCARDED_BYTES
    response.writeHead(problem.status, closesConnection ? { ...problem.headers, connection: 'close' } : problem.headers)
    response.end(problem.body)
    if (!request.complete) request.resume()
  }

  /** Responds to input that Node's HTTP parser rejected before a request object existed. */
  private _rejectConnection (error: NodeJS.ErrnoException, socket: Duplex): void {
    if (!socket.writable || error.code === 'ECONNRESET') {
      socket.destroy()
      return
    }
    const mimosarockError = parserError(error)
    this._options.metrics.countResult(mimosarockError.code)
    const problem = new Problem(mimosarockError, randomUUID())
    const head = Object.entries({ ...problem.headers, connection: 'close' }).map(([name, value]) => `${name}: ${value}\r\n`).join('')
    socket.end(`HTTP/1.1 ${problem.status} Refused\r\n${head}\r\n${problem.body}`)
  }

  private _logRequest (exchange: Exchange): void {
    const { request, response, fields } = exchange
    if (STATUS_PATHS.has(request.url ?? '')) return
    this._options.eventLog.info('request', {
      request_id: exchange.requestId,
      method: request.method,
      path: request.url,
      status: response.headersSent ? response.statusCode : undefined,
      whole: response.writableFinished,
      duration_ms: Math.round(this._options.clock.now() - exchange.startedAt),
      ...fields
    })
  }
}

function requireMethod (request: IncomingMessage, method: string): void {
  if (request.method === method) return
  throw new MimosarockError(ResultCode.METHOD_NOT_ALLOWED, `only ${method} is allowed on this path`)
}

function parserError (error: NodeJS.ErrnoException): MimosarockError {
  if (error.code === 'HPE_HEADER_OVERFLOW') return new MimosarockError(ResultCode.HEADERS_TOO_LARGE, 'the header section is too large')
  if (error.code === 'ERR_HTTP_REQUEST_TIMEOUT') return new MimosarockError(ResultCode.REQUEST_TIMEOUT, 'the request did not arrive in time')
  return new MimosarockError(ResultCode.INVALID_REQUEST, 'the request is not valid HTTP')
}
