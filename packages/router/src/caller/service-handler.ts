import { readBoundedBody } from '@mimosarock/coordination/http/read-bounded-body.js'
import { RESPONSE_TOO_LONG } from '@mimosarock/coordination/http/response-too-long.js'
import type { IncomingMessage } from 'node:http'
import type { ConfigurationIndex } from '@mimosarock/coordination/configuration-index.js'
import type { Pool, Route, Workspace } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { RunState } from '@mimosarock/schema/run-state.js'
import type { CallPlan } from '../entry/call-plan.js'
import { writeResponseBody } from '../forward/write-response-body.js'
import type { KeyedResponse } from '../operations/keyed-response.js'
import { endpointHeaders } from './endpoint-headers.js'
import type { Exchange } from './exchange.js'
import type { ExchangeHandler } from './exchange-handler.js'
import { findWorkspace } from './find-workspace.js'
import { readBody } from '../http/read-body.js'
import { requireConfiguration } from './require-configuration.js'
import type { ServiceHandlerOptions } from './service-handler-options.js'
import { StreamedBody } from '../http/streamed-body.js'

const DEFAULT_DEADLINE_MS = 30_000
const PATH_PREFIX = '/services/'
const MAXIMUM_CANDIDATES = 8
const RETRY_AFTER_MS = 1_000
/** Number of hexadecimal digits of the request id that form the key by which the candidate endpoints are ranked. */
const KEY_DIGITS = 16

/** Handles calls to plain services under `/services/<route>/`. */
export class ServiceHandler implements ExchangeHandler {
  private readonly _options: ServiceHandlerOptions

  /**
   * @param options dependencies and limits
   */
  constructor (options: ServiceHandlerOptions) {
    this._options = options
  }

  /**
   * Places the call and relays the response. A call whose route is not repeatable is executed at most once.
   * @param exchange the request and its response
   * @throws {MimosarockError} sent to the caller as an error response
   */
  async handle (exchange: Exchange): Promise<void> {
    const index = requireConfiguration(this._options.configuration)
    const workspace = findWorkspace(exchange.request, index)
    exchange.fields.workspace = workspace.name
    const { route, pool, path } = findRoute(exchange.request, index)
    exchange.fields.route = route.name
    const releaseSlot = await this._options.limiter.acquire(workspace, exchange.callerSignal)
    try {
      if (route.repeatable) await this._relayRepeatable(exchange, index, workspace, route, pool, path)
      else await this._executeOnce(exchange, index, workspace, route, pool, path)
    } finally {
      releaseSlot()
    }
  }

  private async _relayRepeatable (
    exchange: Exchange, index: ConfigurationIndex, workspace: Workspace, route: Route, pool: Pool, path: string
  ): Promise<void> {
    const length = Number(exchange.request.headers['content-length'] ?? (exchange.request.headers['transfer-encoding'] === undefined ? 0 : Infinity))
    const isBuffered = length <= this._options.maximumBufferedBodyBytes
    const body = isBuffered
      ? await readBody(exchange.request, this._options.maximumBufferedBodyBytes)
      : new StreamedBody(exchange.request, this._options.maximumBodyBytes)
    const plan = this._plan(exchange, index, workspace, route, pool, path, body)
    const { response: endpointResponse } = await this._options.placement.place(plan, exchange.callerSignal)
    exchange.fields.endpoint = endpointResponse.endpoint
    exchange.response.writeHead(endpointResponse.status, { ...endpointResponse.headers, 'x-request-id': exchange.requestId })
    exchange.response.flushHeaders()
    await writeResponseBody(exchange.response, endpointResponse.body, this._options.drainTimeoutMs)
  }

  private async _executeOnce (
    exchange: Exchange, index: ConfigurationIndex, workspace: Workspace, route: Route, pool: Pool, path: string
  ): Promise<void> {
    const { request, response } = exchange
    const body = await readBody(request, this._options.maximumBufferedBodyBytes)
    const plan = this._plan(exchange, index, workspace, route, pool, path, body)
    const key = request.headers['idempotency-key']
    const keyTime = request.headers['idempotency-key-time']
    const keyedResponse = await this._options.keyedCall.run({
      workspace: workspace.name,
      route,
      key: typeof key === 'string' ? key : undefined,
      keyTime: typeof keyTime === 'string' ? keyTime : undefined,
      method: request.method ?? 'POST',
      path,
      body,
      deadlineAt: plan.deadlineAt,
      reasonNotToBegin: () => this._options.order.hasUsable(pool) ? undefined : noEndpointError(pool)
    }, async (signal) => await this._dispatchOnce(exchange, plan, signal), exchange.callerSignal)
    response.writeHead(keyedResponse.status, { ...keyedResponse.headers, 'content-length': String(keyedResponse.body.length), 'x-request-id': exchange.requestId })
    response.end(keyedResponse.body)
  }

  private async _dispatchOnce (exchange: Exchange, plan: CallPlan, signal: AbortSignal): Promise<KeyedResponse> {
    const { response: endpointResponse } = await this._options.directPlacement.place(plan, signal)
    exchange.fields.endpoint = endpointResponse.endpoint
    const body = await this._readWhole(endpointResponse.body)
    const headers = { ...endpointResponse.headers }
    delete headers['content-length']
    return { status: endpointResponse.status, headers, body }
  }

  /** Reads a response that is kept for its key, for as long as that may be. */
  private async _readWhole (body: AsyncIterable<Uint8Array>): Promise<Buffer> {
    const { maximumBodyBytes } = this._options
    try {
      return await readBoundedBody(body, maximumBodyBytes)
    } catch (cause) {
      const isTooLong = (cause as { code?: unknown }).code === RESPONSE_TOO_LONG
      const message = isTooLong ? `the response is longer than ${maximumBodyBytes} bytes` : 'the response ended prematurely'
      throw new MimosarockError(ResultCode.OUTCOME_UNKNOWN, message, { run: RunState.UNKNOWN, cause })
    }
  }

  private _plan (
    exchange: Exchange, index: ConfigurationIndex, workspace: Workspace, route: Route, pool: Pool, path: string, body: Buffer | AsyncIterable<Uint8Array>
  ): CallPlan {
    const { request, requestId } = exchange
    const isEmpty = body instanceof Buffer && body.length === 0
    const placementKey = requestId.replaceAll('-', '').slice(0, KEY_DIGITS)
    return {
      pool,
      order: this._options.order.first(index, pool, placementKey, MAXIMUM_CANDIDATES),
      deadlineAt: exchange.startedAt + (route.deadlineMs > 0 ? route.deadlineMs : DEFAULT_DEADLINE_MS),
      repeatable: route.repeatable,
      call: {
        requestId,
        pool: pool.name,
        workspace: workspace.name,
        route: route.name,
        affinityKey: '',
        method: request.method ?? 'GET',
        path,
        headers: endpointHeaders(request.headers, { 'x-request-id': requestId }),
        body: isEmpty ? undefined : body,
        load: 1,
        promptTokens: 0,
        ownConnection: !route.repeatable
      }
    }
  }
}

function noEndpointError (pool: Pool): MimosarockError {
  return new MimosarockError(ResultCode.NO_ENDPOINT, `no endpoint of pool ${pool.name} is accepting calls`, { retryAfterMs: RETRY_AFTER_MS })
}

function findRoute (request: IncomingMessage, index: ConfigurationIndex): { route: Route, pool: Pool, path: string } {
  const rest = (request.url ?? '').slice(PATH_PREFIX.length)
  const end = rest.search(/[/?]/)
  const name = end < 0 ? rest : rest.slice(0, end)
  const route = index.routes.get(name)
  const pool = route === undefined ? undefined : index.pools.get(route.pool)
  if (route === undefined || pool === undefined || route.model !== '') {
    throw new MimosarockError(ResultCode.ROUTE_UNKNOWN, `there is no route ${name}`)
  }
  const tail = end < 0 ? '' : rest.slice(end)
  return { route, pool, path: tail.startsWith('/') ? tail : `/${tail}` }
}
