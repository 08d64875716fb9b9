import type { IncomingMessage } from 'node:http'
import type { ConfigurationIndex } from '@mimosarock/coordination/configuration-index.js'
import type { Pool, Route, Workspace } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { RunState } from '@mimosarock/schema/run-state.js'
import { collectAnswer } from '../answers/collect-answer.js'
import type { CallPlan } from '../entry/call-plan.js'
import { writeAnswer } from '../forward/write-answer.js'
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
const PREFIX = '/services/'
const MAXIMUM_CANDIDATES = 8
const NO_ENDPOINT_RETRY_MS = 1_000
/** Hexadecimal digits of a placement key. */
const KEY_DIGITS = 16

/** Answers calls to plain services under `/services/<route>/`. */
export class ServiceHandler implements ExchangeHandler {
  private readonly _options: ServiceHandlerOptions

  /**
   * @param options what it works with
   */
  constructor (options: ServiceHandlerOptions) {
    this._options = options
  }

  /**
   * Places the call, once only if its route says that it may not be repeated.
   * @param exchange the request and the answer to it
   * @throws {MimosarockError} becomes a refusal
   */
  async handle (exchange: Exchange): Promise<void> {
    const index = requireConfiguration(this._options.configuration)
    const workspace = findWorkspace(exchange.request, index)
    exchange.fields.workspace = workspace.name
    const { route, pool, path } = findRoute(exchange.request, index)
    exchange.fields.route = route.name
    const leave = await this._options.gate.acquire(workspace, exchange.callerGone)
    try {
      if (route.repeatable) await this._passRepeatable(exchange, index, workspace, route, pool, path)
      else await this._passOnce(exchange, index, workspace, route, pool, path)
    } finally {
      leave()
    }
  }

  private async _passRepeatable (
    exchange: Exchange, index: ConfigurationIndex, workspace: Workspace, route: Route, pool: Pool, path: string
  ): Promise<void> {
    const length = Number(exchange.request.headers['content-length'] ?? (exchange.request.headers['transfer-encoding'] === undefined ? 0 : Infinity))
    const kept = length <= this._options.maximumKeptBodyBytes
    const body = kept
      ? await readBody(exchange.request, this._options.maximumKeptBodyBytes)
      : new StreamedBody(exchange.request, this._options.maximumBodyBytes)
    const plan = this._plan(exchange, index, workspace, route, pool, path, body)
    const { answer } = await this._options.placement.place(plan, exchange.callerGone)
    exchange.fields.endpoint = answer.endpoint
    exchange.response.writeHead(answer.status, { ...answer.headers, 'x-request-id': exchange.requestId })
    exchange.response.flushHeaders()
    await writeAnswer(exchange.response, answer.body, this._options.drainTimeoutMs)
  }

  private async _passOnce (
    exchange: Exchange, index: ConfigurationIndex, workspace: Workspace, route: Route, pool: Pool, path: string
  ): Promise<void> {
    const { request, response } = exchange
    const body = await readBody(request, this._options.maximumKeptBodyBytes)
    const plan = this._plan(exchange, index, workspace, route, pool, path, body)
    const key = request.headers['idempotency-key']
    const keyTime = request.headers['idempotency-key-time']
    const answer = await this._options.keyedCall.run({
      workspace: workspace.name,
      route,
      key: typeof key === 'string' ? key : undefined,
      keyTime: typeof keyTime === 'string' ? keyTime : undefined,
      method: request.method ?? 'POST',
      path,
      body,
      deadlineAt: plan.deadlineAt,
      reasonNotToBegin: () => this._options.order.hasUsable(pool) ? undefined : noEndpoint(pool)
    }, async (signal) => await this._dispatchOnce(exchange, plan, signal), exchange.callerGone)
    response.writeHead(answer.status, { ...answer.headers, 'content-length': String(answer.body.length), 'x-request-id': exchange.requestId })
    response.end(answer.body)
  }

  private async _dispatchOnce (exchange: Exchange, plan: CallPlan, signal: AbortSignal): Promise<KeyedResponse> {
    const { answer } = await this._options.directPlacement.place(plan, signal)
    exchange.fields.endpoint = answer.endpoint
    const collected = await collectAnswer(answer.body, this._options.maximumBodyBytes)
    if (collected.error !== undefined) {
      throw new MimosarockError(ResultCode.OUTCOME_UNKNOWN, 'the answer broke off', { run: RunState.UNKNOWN, cause: collected.error })
    }
    const chunks: Uint8Array[] = []
    for await (const chunk of collected.body) chunks.push(chunk)
    const headers = { ...answer.headers }
    delete headers['content-length']
    return { status: answer.status, headers, body: Buffer.concat(chunks) }
  }

  private _plan (
    exchange: Exchange, index: ConfigurationIndex, workspace: Workspace, route: Route, pool: Pool, path: string, body: Buffer | AsyncIterable<Uint8Array>
  ): CallPlan {
    const { request, requestId } = exchange
    const empty = body instanceof Buffer && body.length === 0
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
        body: empty ? undefined : body,
        load: 1,
        promptTokens: 0,
        ownConnection: !route.repeatable
      }
    }
  }
}

function noEndpoint (pool: Pool): MimosarockError {
  return new MimosarockError(ResultCode.NO_ENDPOINT, `no endpoint of pool ${pool.name} takes calls now`, { retryAfterMs: NO_ENDPOINT_RETRY_MS })
}

function findRoute (request: IncomingMessage, index: ConfigurationIndex): { route: Route, pool: Pool, path: string } {
  const rest = (request.url ?? '').slice(PREFIX.length)
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
