import { AffinityKey } from '@mimosarock/placement/affinity-key.js'
import type { ConfigurationIndex } from '@mimosarock/coordination/configuration-index.js'
import type { Workspace } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import type { CallPlan } from '../entry/call-plan.js'
import type { PlacedCall } from '../entry/placed-call.js'
import { ResumedStream } from '../answers/resumed-stream.js'
import { collectAnswer } from '../answers/collect-answer.js'
import { streamErrorEvent } from '../answers/stream-error-event.js'
import { writeAnswer } from '../forward/write-answer.js'
import type { ChatHandlerOptions } from './chat-handler-options.js'
import { ChatRequest } from './chat-request.js'
import { endpointHeaders } from './endpoint-headers.js'
import type { Exchange } from './exchange.js'
import type { ExchangeHandler } from './exchange-handler.js'
import { findWorkspace } from './find-workspace.js'
import { readBody } from './read-body.js'
import { requireConfiguration } from './require-configuration.js'

const DEFAULT_DEADLINE_MS = 600_000
/** Endpoints of a pool that one chat may be offered to. */
const MAXIMUM_CANDIDATES = 16
/** Rough size of a token of a prompt, for estimates of load only. */
const BYTES_PER_TOKEN = 4
const OK = 200

/** Answers `POST /v1/chat/completions`. */
export class ChatHandler implements ExchangeHandler {
  private readonly _options: ChatHandlerOptions

  /**
   * @param options what it works with
   */
  constructor (options: ChatHandlerOptions) {
    this._options = options
  }

  /**
   * Places the chat and passes the answer on.
   * @param exchange the request and the answer to it
   * @throws {MimosarockError} becomes a refusal
   */
  async handle (exchange: Exchange): Promise<void> {
    const index = requireConfiguration(this._options.configuration)
    const workspace = findWorkspace(exchange.request, index)
    exchange.fields.workspace = workspace.name
    checkContentType(exchange)
    const body = await readBody(exchange.request, this._options.maximumBodyBytes)
    const chat = ChatRequest.parse(body)
    const plan = this._plan(exchange, index, workspace, chat, body)
    const leave = await this._options.gate.enter(workspace, exchange.callerGone)
    try {
      const placed = await this._options.placement.place(plan, exchange.callerGone)
      exchange.fields.endpoint = placed.answer.endpoint
      this._options.metrics.timeToHead.observe((this._options.clock.now() - exchange.startedAt) / 1_000)
      if (chat.stream && placed.answer.status === OK) await this._passStream(exchange, plan, placed)
      else await this._passWhole(exchange, plan, placed)
    } finally {
      leave()
    }
  }

  private _plan (exchange: Exchange, index: ConfigurationIndex, workspace: Workspace, chat: ChatRequest, body: Buffer): CallPlan {
    const route = index.routesByModel.get(chat.model)
    const pool = route === undefined ? undefined : index.pools.get(route.pool)
    if (route === undefined || pool === undefined) throw new MimosarockError(ResultCode.MODEL_UNKNOWN, `there is no model ${chat.model}`, { field: 'model' })
    if (workspace.models.length > 0 && !workspace.models.includes(chat.model)) {
      throw new MimosarockError(ResultCode.MODEL_NOT_ALLOWED, `workspace ${workspace.name} may not use model ${chat.model}`, { field: 'model' })
    }
    const chatHeader = exchange.request.headers['mimosarock-chat']
    const key = AffinityKey.forRequest(workspace.name, typeof chatHeader === 'string' ? chatHeader : undefined, chat.messages as never)
    exchange.fields.pool = pool.name
    return {
      pool,
      order: this._options.order.first(index, pool, key, MAXIMUM_CANDIDATES),
      deadlineAt: exchange.startedAt + (route.deadlineMs > 0 ? route.deadlineMs : DEFAULT_DEADLINE_MS),
      repeatable: true,
      call: {
        requestId: exchange.requestId,
        pool: pool.name,
        workspace: workspace.name,
        route: route.name,
        affinityKey: key,
        method: 'POST',
        path: '/v1/chat/completions',
        headers: endpointHeaders(exchange.request.headers, {
          'x-request-id': exchange.requestId,
          'x-cache-key': key,
          'x-priority': String(workspace.priority)
        }),
        body,
        load: 1,
        promptTokens: Math.ceil(body.length / BYTES_PER_TOKEN)
      }
    }
  }

  private async _passStream (exchange: Exchange, plan: CallPlan, placed: PlacedCall): Promise<void> {
    const stream = new ResumedStream({
      placed,
      dispatch: this._options.dispatch,
      signal: exchange.callerGone,
      remainingMs: () => plan.deadlineAt - this._options.clock.now(),
      restart: async () => await this._options.placement.place(plan, exchange.callerGone),
      onResume: (nextId) => {
        this._options.metrics.resumptions.inc()
        this._options.eventLog.info('stream-resumed', { request_id: exchange.requestId, endpoint: placed.answer.endpoint, next_event: nextId })
      }
    })
    const { response } = exchange
    response.writeHead(placed.answer.status, this._answerHeaders(exchange, placed))
    response.flushHeaders()
    try {
      await writeAnswer(response, this._withErrorEvent(exchange, stream), this._options.drainTimeoutMs)
    } finally {
      exchange.fields.events = stream.eventCount
      if (exchange.callerGone.aborted && !response.writableFinished) this._options.dispatch.cancel(stream.call).catch(() => {})
    }
  }

  /** A stream that can't be completed ends with an error event, so that no caller takes it for whole. */
  private async * _withErrorEvent (exchange: Exchange, stream: ResumedStream): AsyncGenerator<Uint8Array> {
    try {
      yield * stream
    } catch (error) {
      if (exchange.callerGone.aborted) throw error
      const refusal = error instanceof MimosarockError ? error : new MimosarockError(ResultCode.STREAM_INCOMPLETE, String(error), { run: 'ran' })
      exchange.fields.code = refusal.code
      this._options.metrics.countResult(refusal.code)
      yield streamErrorEvent(refusal, exchange.requestId)
    }
  }

  /** Holds the answer until it is whole, so that one that breaks off can be had again elsewhere. */
  private async _passWhole (exchange: Exchange, plan: CallPlan, first: PlacedCall): Promise<void> {
    let placed = first
    let collected = await collectAnswer(placed.answer.body, this._options.maximumKeptAnswerBytes)
    if (collected.error !== undefined) {
      if (exchange.callerGone.aborted) throw collected.error
      this._options.eventLog.warn('answer-broken', { request_id: exchange.requestId, endpoint: placed.answer.endpoint, error: String(collected.error) })
      placed = await this._options.placement.place(plan, exchange.callerGone)
      collected = await collectAnswer(placed.answer.body, this._options.maximumKeptAnswerBytes)
    }
    if (collected.error !== undefined) {
      throw new MimosarockError(ResultCode.ENDPOINT_FAILED, 'the answer broke off twice', { run: 'ran', cause: collected.error })
    }
    exchange.response.writeHead(placed.answer.status, this._answerHeaders(exchange, placed))
    await writeAnswer(exchange.response, collected.body, this._options.drainTimeoutMs)
  }

  private _answerHeaders (exchange: Exchange, placed: PlacedCall): Record<string, string> {
    return { ...placed.answer.headers, 'x-request-id': exchange.requestId, 'mimosarock-endpoint': placed.answer.endpoint }
  }
}

function checkContentType (exchange: Exchange): void {
  const type = exchange.request.headers['content-type'] ?? ''
  if (type.split(';')[0]?.trim().toLowerCase() === 'application/json') return
  throw new MimosarockError(ResultCode.UNSUPPORTED_CONTENT_TYPE, 'the body must be application/json', { field: 'Content-Type' })
}
