import { AffinityKey } from '@mimosarock/placement/affinity-key.js'
import type { ConfigurationIndex } from '@mimosarock/coordination/configuration-index.js'
import type { Workspace } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import type { CallPlan } from '../entry/call-plan.js'
import type { PlacedCall } from '../entry/placed-call.js'
import { ResumedStream } from '../answers/resumed-stream.js'
import { streamErrorEvent } from '../answers/stream-error-event.js'
import { WholeAnswerAssembler } from '../answers/whole-answer-assembler.js'
import { writeAnswer } from '../forward/write-answer.js'
import type { ChatHandlerOptions } from './chat-handler-options.js'
import { ChatRequest } from './chat-request.js'
import { endpointHeaders } from './endpoint-headers.js'
import type { Exchange } from './exchange.js'
import type { ExchangeHandler } from './exchange-handler.js'
import { findWorkspace } from './find-workspace.js'
import { readBody } from '../http/read-body.js'
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
    const leave = await this._options.gate.acquire(workspace, exchange.callerGone)
    try {
      const placed = await this._options.placement.place(plan, exchange.callerGone)
      exchange.fields.endpoint = placed.answer.endpoint
      this._options.metrics.timeToHead.observe((this._options.clock.now() - exchange.startedAt) / 1_000)
      if (placed.answer.status !== OK) await this._passRefusal(exchange, placed)
      else if (chat.stream) await this._passStream(exchange, plan, placed)
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
        // The engine streams in any case, so that an answer can be resumed and silence shows.
        body: chat.stream ? body : chat.streamedBody(),
        streamed: true,
        load: 1,
        promptTokens: Math.ceil(body.length / BYTES_PER_TOKEN)
      }
    }
  }

  /** Passes on what an endpoint says to a request that it does not take. */
  private async _passRefusal (exchange: Exchange, placed: PlacedCall): Promise<void> {
    exchange.response.writeHead(placed.answer.status, this._answerHeaders(exchange, placed))
    await writeAnswer(exchange.response, placed.answer.body, this._options.drainTimeoutMs)
  }

  private async _passStream (exchange: Exchange, plan: CallPlan, placed: PlacedCall): Promise<void> {
    const stream = this._resumedStream(exchange, plan, placed)
    const { response } = exchange
    response.writeHead(placed.answer.status, this._answerHeaders(exchange, placed))
    response.flushHeaders()
    try {
      await writeAnswer(response, this._withErrorEvent(exchange, stream), this._options.drainTimeoutMs)
    } finally {
      this._finish(exchange, stream)
    }
  }

  /** Puts the streamed answer together; nothing is passed on before it is whole, so a lost one is had again. */
  private async _passWhole (exchange: Exchange, plan: CallPlan, first: PlacedCall): Promise<void> {
    let placed = first
    let body: string
    try {
      body = await this._assemble(exchange, plan, placed)
    } catch (error) {
      if (exchange.callerGone.aborted || !(error instanceof MimosarockError)) throw error
      this._options.eventLog.warn('answer-broken', { request_id: exchange.requestId, endpoint: placed.answer.endpoint, error: error.message })
      placed = await this._options.placement.place(plan, exchange.callerGone)
      body = await this._assemble(exchange, plan, placed)
    }
    const headers = { ...this._answerHeaders(exchange, placed), 'content-type': 'application/json', 'content-length': String(Buffer.byteLength(body)) }
    exchange.response.writeHead(placed.answer.status, headers)
    exchange.response.end(body)
  }

  private async _assemble (exchange: Exchange, plan: CallPlan, placed: PlacedCall): Promise<string> {
    const stream = this._resumedStream(exchange, plan, placed)
    const whole = new WholeAnswerAssembler()
    try {
      for await (const bytes of stream) whole.push(bytes)
    } finally {
      this._finish(exchange, stream)
    }
    return whole.finish()
  }

  private _resumedStream (exchange: Exchange, plan: CallPlan, placed: PlacedCall): ResumedStream {
    return new ResumedStream({
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
  }

  /** Notes how far the stream came, and ends it at its engine if nobody is left to read it. */
  private _finish (exchange: Exchange, stream: ResumedStream): void {
    exchange.fields.events = stream.eventCount
    if (exchange.callerGone.aborted && !exchange.response.writableFinished) this._options.dispatch.cancel(stream.call).catch(() => {})
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

  private _answerHeaders (exchange: Exchange, placed: PlacedCall): Record<string, string> {
    return { ...placed.answer.headers, 'x-request-id': exchange.requestId, 'mimosarock-endpoint': placed.answer.endpoint }
  }
}

function checkContentType (exchange: Exchange): void {
  const type = exchange.request.headers['content-type'] ?? ''
  if (type.split(';')[0]?.trim().toLowerCase() === 'application/json') return
  throw new MimosarockError(ResultCode.UNSUPPORTED_CONTENT_TYPE, 'the body must be application/json', { field: 'Content-Type' })
}
