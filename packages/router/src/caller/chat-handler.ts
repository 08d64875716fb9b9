import { AffinityKey } from '@mimosarock/placement/affinity-key.js'
import type { ConfigurationIndex } from '@mimosarock/coordination/configuration-index.js'
import type { Workspace } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import type { CallPlan } from '../entry/call-plan.js'
import type { PlacedCall } from '../entry/placed-call.js'
import { ResumableStream } from '../responses/resumable-stream.js'
import { streamErrorEvent } from '../responses/stream-error-event.js'
import { CompletionAssembler } from '../responses/completion-assembler.js'
import { writeResponseBody } from '../forward/write-response-body.js'
import type { ChatHandlerOptions } from './chat-handler-options.js'
import { ChatRequest } from './chat-request.js'
import { endpointHeaders } from './endpoint-headers.js'
import type { Exchange } from './exchange.js'
import type { ExchangeHandler } from './exchange-handler.js'
import { findWorkspace } from './find-workspace.js'
import { readBody } from '../http/read-body.js'
import { requireConfiguration } from './require-configuration.js'

const DEFAULT_DEADLINE_MS = 600_000
/** Maximum number of candidate endpoints for one chat. */
const MAXIMUM_CANDIDATES = 16
/** Approximate size of a prompt token, used only to estimate load. */
const BYTES_PER_TOKEN = 4
const OK = 200

/** Handles `POST /v1/chat/completions`. */
export class ChatHandler implements ExchangeHandler {
  private readonly _options: ChatHandlerOptions

  /**
   * @param options dependencies and limits
   */
  constructor (options: ChatHandlerOptions) {
    this._options = options
  }

  /**
   * Places the chat at an endpoint and relays the response.
   * @param exchange the request and its response
   * @throws {MimosarockError} sent to the caller as an error response
   */
  async handle (exchange: Exchange): Promise<void> {
    const index = requireConfiguration(this._options.configuration)
    const workspace = findWorkspace(exchange.request, index)
    exchange.fields.workspace = workspace.name
    checkContentType(exchange)
    const body = await readBody(exchange.request, this._options.maximumBodyBytes)
    const chat = ChatRequest.parse(body)
    const plan = this._plan(exchange, index, workspace, chat, body)
    const releaseSlot = await this._options.limiter.acquire(workspace, exchange.callerSignal)
    try {
      const placed = await this._options.placement.place(plan, exchange.callerSignal)
      exchange.fields.endpoint = placed.response.endpoint
      this._options.metrics.timeToHead.observe((this._options.clock.now() - exchange.startedAt) / 1_000)
      if (placed.response.status !== OK) await this._relayErrorResponse(exchange, placed)
      else if (chat.stream) await this._relayStream(exchange, plan, placed)
      else await this._sendCompletion(exchange, plan, placed)
    } finally {
      releaseSlot()
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
        // The engine always streams, so that responses can be resumed and a stalled engine is detected.
        body: chat.stream ? body : chat.streamedBody(),
        streamed: true,
        load: 1,
        promptTokens: Math.ceil(body.length / BYTES_PER_TOKEN)
      }
    }
  }

  /** Relays the response of an endpoint that rejected the request. */
  private async _relayErrorResponse (exchange: Exchange, placed: PlacedCall): Promise<void> {
    exchange.response.writeHead(placed.response.status, this._responseHeaders(exchange, placed))
    await writeResponseBody(exchange.response, placed.response.body, this._options.drainTimeoutMs)
  }

  private async _relayStream (exchange: Exchange, plan: CallPlan, placed: PlacedCall): Promise<void> {
    const stream = this._createStream(exchange, plan, placed)
    const { response } = exchange
    response.writeHead(placed.response.status, this._responseHeaders(exchange, placed))
    response.flushHeaders()
    try {
      await writeResponseBody(response, this._withErrorEvent(exchange, stream), this._options.drainTimeoutMs)
    } finally {
      this._finishStream(exchange, stream)
    }
  }

  /** Assembles the streamed response and sends it once complete. If the response fails, the chat is placed once more. */
  private async _sendCompletion (exchange: Exchange, plan: CallPlan, first: PlacedCall): Promise<void> {
    let placed = first
    let body: string
    try {
      body = await this._assemble(exchange, plan, placed)
    } catch (error) {
      if (exchange.callerSignal.aborted || !(error instanceof MimosarockError)) throw error
      this._options.eventLog.warn('answer-broken', { request_id: exchange.requestId, endpoint: placed.response.endpoint, error: error.message })
      placed = await this._options.placement.place(plan, exchange.callerSignal)
      body = await this._assemble(exchange, plan, placed)
    }
    const headers = { ...this._responseHeaders(exchange, placed), 'content-type': 'application/json', 'content-length': String(Buffer.byteLength(body)) }
    exchange.response.writeHead(placed.response.status, headers)
    exchange.response.end(body)
  }

  private async _assemble (exchange: Exchange, plan: CallPlan, placed: PlacedCall): Promise<string> {
    const stream = this._createStream(exchange, plan, placed)
    const assembler = new CompletionAssembler()
    try {
      for await (const bytes of stream) assembler.push(bytes)
    } finally {
      this._finishStream(exchange, stream)
    }
    return assembler.finish()
  }

  private _createStream (exchange: Exchange, plan: CallPlan, placed: PlacedCall): ResumableStream {
    return new ResumableStream({
      placed,
      dispatch: this._options.dispatch,
      signal: exchange.callerSignal,
      remainingMs: () => plan.deadlineAt - this._options.clock.now(),
      restart: async () => await this._options.placement.place(plan, exchange.callerSignal),
      onResume: (nextId) => {
        this._options.metrics.resumptions.inc()
        this._options.eventLog.info('stream-resumed', { request_id: exchange.requestId, endpoint: placed.response.endpoint, next_event: nextId })
      }
    })
  }

  /** Records the number of delivered events, and cancels the stream at its engine if the caller has disconnected. */
  private _finishStream (exchange: Exchange, stream: ResumableStream): void {
    exchange.fields.events = stream.eventCount
    if (exchange.callerSignal.aborted && !exchange.response.writableFinished) this._options.dispatch.cancel(stream.call).catch(() => {})
  }

  /** Appends an error event to a stream that can't be completed, so that no caller mistakes it for a complete one. */
  private async * _withErrorEvent (exchange: Exchange, stream: ResumableStream): AsyncGenerator<Uint8Array> {
    try {
      yield * stream
    } catch (error) {
      if (exchange.callerSignal.aborted) throw error
      const mimosarockError = error instanceof MimosarockError ? error : new MimosarockError(ResultCode.STREAM_INCOMPLETE, String(error), { run: 'ran' })
      exchange.fields.code = mimosarockError.code
      this._options.metrics.countResult(mimosarockError.code)
      yield streamErrorEvent(mimosarockError, exchange.requestId)
    }
  }

  private _responseHeaders (exchange: Exchange, placed: PlacedCall): Record<string, string> {
    return { ...placed.response.headers, 'x-request-id': exchange.requestId, 'mimosarock-endpoint': placed.response.endpoint }
  }
}

function checkContentType (exchange: Exchange): void {
  const type = exchange.request.headers['content-type'] ?? ''
  if (type.split(';')[0]?.trim().toLowerCase() === 'application/json') return
  throw new MimosarockError(ResultCode.UNSUPPORTED_CONTENT_TYPE, 'the body must be application/json', { field: 'Content-Type' })
}
