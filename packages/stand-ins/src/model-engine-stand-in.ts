import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Clock } from '@mimosarock/coordination/clock.js'
import { SystemClock } from '@mimosarock/coordination/system-clock.js'
import { CacheEventFeed } from './engine/cache-event-feed.js'
import { CacheTransfer } from './engine/cache-transfer.js'
import type { ChatRequest } from './engine/chat-request.js'
import { ContinuousBatch } from './engine/continuous-batch.js'
import { EngineOrders } from './engine/engine-orders.js'
import { EngineStream } from './engine/engine-stream.js'
import { LoadReports } from './engine/load-reports.js'
import { PrefixCache } from './engine/prefix-cache.js'
import { StreamResponses } from './engine/stream-responses.js'
import { StreamRegistry } from './engine/stream-registry.js'
import { ModelEngineFaults } from './model-engine-faults.js'
import type { ModelEngineOptions } from './model-engine-options.js'
import { readBody } from './read-body.js'
import { SeededRandom } from './seeded-random.js'
import { sendJson } from './send-json.js'
import { StandInServer } from './stand-in-server.js'

const DEFAULT_CAPACITY = 16
const DEFAULT_TOKEN_MS = 10
const DEFAULT_TOKEN_MS_PER_REQUEST = 0.5
const DEFAULT_PREFILL_MS_PER_TOKEN = 0.1
const DEFAULT_CACHE_LIMIT_TOKENS = 65_536
const DEFAULT_CACHE_BYTES_PER_TOKEN = 128
const DEFAULT_RESUME_WINDOW_MS = 5_000

/**
 * Simulates a model engine: continuous batching, a limited prefix cache, streams that can be resumed and canceled,
 * orders, load reports and cache events. The text of a completion is `new CompletionText(messages).text(max_tokens)`.
 */
export class ModelEngineStandIn {
  /** Faults to inject; none are active at first. */
  readonly faults = new ModelEngineFaults()
  /** Numbers of completions accepted so far and of their prompt tokens. `cachedTokens` is not updated and stays 0. */
  readonly counts = { completions: 0, promptTokens: 0, cachedTokens: 0 }
  /** Request ids of the accepted completions, which show whether a request reported as not run did run. */
  readonly acceptedRequestIds = new Set<string>()
  /** HTTP server, for its connection faults. */
  readonly server = new StandInServer((request, response) => this._serve(request, response))
  /** Models, adapters and role of the engine. */
  readonly orders: EngineOrders
  /** Prefix cache of the engine. */
  readonly cache: PrefixCache
  private readonly _clock: Clock
  private readonly _capacity: number
  private readonly _feed: CacheEventFeed
  private readonly _loadReports: LoadReports
  private readonly _batch: ContinuousBatch
  private readonly _streams: StreamRegistry
  private readonly _responses: StreamResponses
  private readonly _transfer: CacheTransfer

  /**
   * @param options models, speed, cache and handling of orders
   */
  constructor (options: ModelEngineOptions = {}) {
    this._clock = options.clock ?? new SystemClock()
    this._capacity = options.capacity ?? DEFAULT_CAPACITY
    this._feed = new CacheEventFeed(this._clock, this.faults, new SeededRandom(options.seed ?? 1))
    this.cache = new PrefixCache(options.cacheLimitTokens ?? DEFAULT_CACHE_LIMIT_TOKENS, this._feed)
    this.orders = new EngineOrders(options.models ?? ['m'], options.checksFencing ?? true, options.weightStore)
    this._loadReports = new LoadReports(this._clock, this.faults)
    this._batch = new ContinuousBatch({
      capacity: this._capacity,
      tokenMs: options.tokenMs ?? DEFAULT_TOKEN_MS,
      tokenMsPerRequest: options.tokenMsPerRequest ?? DEFAULT_TOKEN_MS_PER_REQUEST,
      prefillMsPerToken: options.prefillMsPerToken ?? DEFAULT_PREFILL_MS_PER_TOKEN
    }, this._clock, this.cache, this.faults, () => this._recordLoad())
    this._streams = new StreamRegistry(this._batch, this._clock, options.resumeWindowMs ?? DEFAULT_RESUME_WINDOW_MS)
    this._responses = new StreamResponses(this._streams, this.faults, this.server)
    this._transfer = new CacheTransfer(this.cache, options.cacheBytesPerToken ?? DEFAULT_CACHE_BYTES_PER_TOKEN)
    this._recordLoad()
  }

  /** IP address and port; valid once started. */
  get address (): string {
    return this.server.address
  }

  /** Current number of streams in the batch, without the lag of the load report. */
  get runningCount (): number {
    return this._batch.runningCount
  }

  /** Current number of queued streams, without the lag of the load report. */
  get waitingCount (): number {
    return this._batch.waitingCount
  }

  /** Starts the HTTP server. */
  async start (): Promise<void> {
    await this.server.start()
  }

  /** Cancels all streams, stops the HTTP server and closes its connections. */
  async stop (): Promise<void> {
    this._streams.clear()
    await this.server.stop()
  }

  /**
   * Simulates a restart of the process: drops all streams, connections, cached prefixes and cache events, and resets the
   * models, adapters and role. The port stays open.
   */
  restart (): void {
    this._streams.clear()
    this.cache.clear()
    this._feed.restart()
    this.orders.restart()
    this.server.breakConnections()
    this._recordLoad()
  }

  /** Deletes the retained cache events, which leaves a gap for readers that have not read them. */
  dropCacheEvents (): void {
    this._feed.dropRetained()
  }

  private _recordLoad (): void {
    this._loadReports.record({
      running: this._batch.runningCount,
      waiting: this._batch.waitingCount,
      capacity: this._capacity,
      cached_tokens: this.cache.totalTokens,
      cache_limit_tokens: this.cache.limitTokens
    })
  }

  private async _serve (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const url = new URL(request.url ?? '/', 'http://engine')
    const [, , collection = '', item = '', cacheKey = ''] = url.pathname.split('/')
    if (this.faults.failing) sendJson(response, 500, { error: { message: 'failing' } })
    else if (url.pathname === '/healthz') sendJson(response, 200, {})
    else if (url.pathname === '/v1/chat/completions') await this._complete(request, response)
    else if (collection === 'streams') this._serveStream(request, response, decodeURIComponent(item), url.searchParams)
    else if (collection === 'models') sendJson(response, 200, this._models())
    else if (collection === 'load') sendJson(response, 200, this._loadReports.current())
    else if (collection === 'cache-events') await this._serveCacheEvents(response, url.searchParams)
    else if (collection === 'kv' && item === 'export') this._transfer.export(decodeURIComponent(cacheKey), response)
    else if (collection === 'kv' && item === 'import') await this._transfer.import(await readBody(request), response)
    else if (collection === 'orders') await this._serveOrders(request, response)
    else sendJson(response, 404, { error: { message: 'unknown path' } })
  }

  private async _complete (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = await readBody(request)
    if (this.faults.headDelayMs > 0) await this._clock.sleep(this.faults.headDelayMs)
    if (this.server.isSilenced(request)) return
    if (this.faults.refusing) {
      sendJson(response, 503, { error: { message: 'refusing' } })
      return
    }
    const chat = JSON.parse(body.toString()) as ChatRequest
    if (!this.orders.loadedModels.includes(chat.model)) {
      sendJson(response, 404, { error: { message: `model ${chat.model} is not loaded` } })
      return
    }
    const requestId = header(request, 'x-request-id') ?? `${this.counts.completions}`
    const priority = Number(header(request, 'x-priority') ?? 0)
    const stream = new EngineStream(requestId, header(request, 'x-cache-key') ?? '', priority, chat)
    this._streams.start(stream)
    this.counts.completions += 1
    this.acceptedRequestIds.add(requestId)
    this.counts.promptTokens += stream.promptTokens
    if (chat.stream === true) this._responses.sendEvents(stream, 0, request, response)
    else this._responses.sendCompletion(stream, request, response)
  }

  private _serveStream (request: IncomingMessage, response: ServerResponse, requestId: string, query: URLSearchParams): void {
    if (request.method === 'DELETE') {
      this._streams.cancel(requestId)
      response.writeHead(204).end()
      return
    }
    const stream = this._streams.find(requestId)
    if (stream === undefined) sendJson(response, 404, { error: { message: 'unknown stream' } })
    else this._responses.sendEvents(stream, Number(query.get('from') ?? 0), request, response)
  }

  private _models (): unknown {
    const data = this.orders.loadedModels.map((id) => ({ id, object: 'model', created: 0, owned_by: 'stand-in' }))
    return { object: 'list', data }
  }

  private async _serveCacheEvents (response: ServerResponse, query: URLSearchParams): Promise<void> {
    const closed = new AbortController()
    response.on('close', () => closed.abort())
    const page = await this._feed.read(Number(query.get('after') ?? 0), Number(query.get('wait_ms') ?? 0), closed.signal)
    if (!closed.signal.aborted) sendJson(response, 200, page)
  }

  private async _serveOrders (request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (request.method === 'GET') {
      sendJson(response, 200, this.orders.state())
      return
    }
    const isApplied = this.orders.apply(JSON.parse((await readBody(request)).toString()))
    if (this.faults.lostOrderAnswers) response.destroy()
    else if (isApplied) sendJson(response, 200, this.orders.state())
    else sendJson(response, 409, { highest_fencing_number: this.orders.highestFencingNumber })
  }
}

function header (request: IncomingMessage, name: string): string | undefined {
  const value = request.headers[name]
  return typeof value === 'string' ? value : undefined
}
