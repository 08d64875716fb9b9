import { AnswerText } from './answer-text.js'
import type { ChatRequest } from './chat-request.js'
import { countPromptTokens } from './count-prompt-tokens.js'

const DEFAULT_MAXIMUM_TOKENS = 16

/**
 * One completion at the engine. Its events can be given again from any id, because every event is a function of
 * the request and the id.
 */
export class EngineStream {
  readonly requestId: string
  readonly cacheKey: string
  readonly priority: number
  readonly promptTokens: number
  readonly maximumTokens: number
  /** Prompt tokens found in the cache. */
  cachedTokens = 0
  /** Time at which the prompt has been computed, in milliseconds of the clock. */
  readyAt = 0
  cancelled = false
  private readonly _answer: AnswerText
  private readonly _includeUsage: boolean
  private readonly _model: string
  private readonly _created = Math.floor(Date.now() / 1_000)
  private readonly _chunkHead: string
  private readonly _readers = new Set<(events: string, ended: boolean) => void>()
  private _tokens = 0

  /**
   * @param requestId names the stream
   * @param cacheKey the chat's affinity key; empty if none was sent
   * @param priority 0 to 9, higher first
   * @param request the parsed request
   */
  constructor (requestId: string, cacheKey: string, priority: number, request: ChatRequest) {
    this.requestId = requestId
    this.cacheKey = cacheKey
    this.priority = priority
    this.promptTokens = countPromptTokens(request.messages)
    this.maximumTokens = Math.max(request.max_completion_tokens ?? request.max_tokens ?? DEFAULT_MAXIMUM_TOKENS, 1)
    this._answer = new AnswerText(request.messages)
    this._includeUsage = request.stream_options?.include_usage ?? false
    this._model = request.model
    const id = JSON.stringify(`chatcmpl-${requestId}`)
    this._chunkHead = `{"id":${id},"object":"chat.completion.chunk","created":${this._created},"model":${JSON.stringify(request.model)},"choices":`
  }

  /** Tokens produced so far. */
  get producedTokens (): number {
    return this._tokens
  }

  /** Whether the answer is whole. */
  get finished (): boolean {
    return this._tokens >= this.maximumTokens
  }

  /** Readers attached. */
  get readerCount (): number {
    return this._readers.size
  }

  /** Produces one token and hands its event to the readers, with the closing events after the last. */
  produce (): void {
    const first = this._tokens
    this._tokens += 1
    if (this._readers.size === 0) return
    const events = this.eventsFrom(first)
    const ended = this.finished
    for (const reader of this._readers) reader(events, ended)
  }

  /** Ends the stream before its answer is whole. */
  cancel (): void {
    if (this.finished) return
    this.cancelled = true
    for (const reader of this._readers) reader('', true)
  }

  /**
   * Calls back with new events.
   * @param reader gets events and whether they are the last
   * @returns a function that ends the calls
   */
  attach (reader: (events: string, ended: boolean) => void): () => void {
    this._readers.add(reader)
    return () => this._readers.delete(reader)
  }

  /**
   * Events that exist, as server-sent events.
   * @param from first id
   */
  eventsFrom (from: number): string {
    let events = ''
    for (let id = from; id < this._tokens; id += 1) events += this._tokenEvent(id)
    return this.finished ? events + this._closingEvents(from) : events
  }

  /** The whole answer as the JSON of a completion that is not streamed. */
  completion (): unknown {
    return {
      id: `chatcmpl-${this.requestId}`,
      object: 'chat.completion',
      created: this._created,
      model: this._model,
      choices: [{ index: 0, message: { role: 'assistant', content: this._answer.text(this._tokens) }, finish_reason: 'length', logprobs: null }],
      usage: this._usage()
    }
  }

  private _tokenEvent (id: number): string {
    const role = id === 0 ? '"role":"assistant",' : ''
    return `id: ${id}\ndata: ${this._chunkHead}[{"index":0,"delta":{${role}"content":"${this._answer.token(id)}"},"finish_reason":null}]}\n\n`
  }

  private _closingEvents (from: number): string {
    const datas = [`${this._chunkHead}[{"index":0,"delta":{},"finish_reason":"length"}]}`]
    if (this._includeUsage) datas.push(`${this._chunkHead}[],"usage":${JSON.stringify(this._usage())}}`)
    datas.push('[DONE]')
    return datas
      .map((data, index) => ({ id: this.maximumTokens + index, data }))
      .filter((event) => event.id >= from)
      .map((event) => `id: ${event.id}\ndata: ${event.data}\n\n`)
      .join('')
  }

  private _usage (): unknown {
    return {
      prompt_tokens: this.promptTokens,
      completion_tokens: this._tokens,
      total_tokens: this.promptTokens + this._tokens,
      prompt_tokens_details: { cached_tokens: this.cachedTokens }
    }
  }
}
