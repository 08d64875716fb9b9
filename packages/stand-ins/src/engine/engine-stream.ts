import { CompletionText } from './completion-text.js'
import type { ChatRequest } from './chat-request.js'
import { countPromptTokens } from './count-prompt-tokens.js'

const DEFAULT_MAXIMUM_TOKENS = 16

/**
 * One completion. Its events can be replayed from any id, because each event is a function of the request and the
 * event id.
 */
export class EngineStream {
  readonly requestId: string
  readonly cacheKey: string
  readonly priority: number
  readonly promptTokens: number
  readonly maximumTokens: number
  /** Number of prompt tokens found in the prefix cache. */
  cachedTokens = 0
  /** Time at which the prefill is complete, in milliseconds of the clock. */
  readyAt = 0
  canceled = false
  private readonly _completionText: CompletionText
  private readonly _includeUsage: boolean
  private readonly _model: string
  private readonly _created = Math.floor(Date.now() / 1_000)
  private readonly _chunkPrefix: string
  private readonly _readers = new Set<(events: string, ended: boolean) => void>()
  private _tokens = 0

  /**
   * @param requestId id of the request, under which the stream can be resumed and canceled
   * @param cacheKey cache key of the chat; empty if the request has none
   * @param priority priority from 0 to 9, higher first
   * @param request parsed body of the request
   */
  constructor (requestId: string, cacheKey: string, priority: number, request: ChatRequest) {
    this.requestId = requestId
    this.cacheKey = cacheKey
    this.priority = priority
    this.promptTokens = countPromptTokens(request.messages)
    this.maximumTokens = Math.max(request.max_completion_tokens ?? request.max_tokens ?? DEFAULT_MAXIMUM_TOKENS, 1)
    this._completionText = new CompletionText(request.messages)
    this._includeUsage = request.stream_options?.include_usage ?? false
    this._model = request.model
    const id = JSON.stringify(`chatcmpl-${requestId}`)
    this._chunkPrefix = `{"id":${id},"object":"chat.completion.chunk","created":${this._created},"model":${JSON.stringify(request.model)},"choices":`
  }

  /** Number of tokens produced so far. */
  get producedTokens (): number {
    return this._tokens
  }

  /** Whether all tokens have been produced. */
  get finished (): boolean {
    return this._tokens >= this.maximumTokens
  }

  /** Number of attached readers. */
  get readerCount (): number {
    return this._readers.size
  }

  /** Produces one token and passes its event to the readers, followed by the final events after the last token. */
  produce (): void {
    const eventId = this._tokens
    this._tokens += 1
    if (this._readers.size === 0) return
    const events = this.eventsFrom(eventId)
    const ended = this.finished
    for (const reader of this._readers) reader(events, ended)
  }

  /** Ends the stream before all tokens have been produced; a finished stream is left unchanged. */
  cancel (): void {
    if (this.finished) return
    this.canceled = true
    for (const reader of this._readers) reader('', true)
  }

  /**
   * Subscribes a reader to new events.
   * @param reader called with server-sent events and whether the stream has ended; canceling passes an empty string
   * @returns function that removes the reader
   */
  attach (reader: (events: string, ended: boolean) => void): () => void {
    this._readers.add(reader)
    return () => this._readers.delete(reader)
  }

  /**
   * Returns the events produced so far, as server-sent events.
   * @param from id of the first event
   */
  eventsFrom (from: number): string {
    let events = ''
    for (let id = from; id < this._tokens; id += 1) events += this._tokenEvent(id)
    return this.finished ? events + this._finalEvents(from) : events
  }

  /** Returns the JSON value of a response that is not streamed, with the tokens produced so far. */
  completion (): unknown {
    return {
      id: `chatcmpl-${this.requestId}`,
      object: 'chat.completion',
      created: this._created,
      model: this._model,
      choices: [{ index: 0, message: { role: 'assistant', content: this._completionText.text(this._tokens) }, finish_reason: 'length', logprobs: null }],
      usage: this._usage()
    }
  }

  private _tokenEvent (id: number): string {
    const role = id === 0 ? '"role":"assistant",' : ''
    return `id: ${id}\ndata: ${this._chunkPrefix}[{"index":0,"delta":{${role}"content":"${this._completionText.token(id)}"},"finish_reason":null}]}\n\n`
  }

  private _finalEvents (from: number): string {
    const payloads = [`${this._chunkPrefix}[{"index":0,"delta":{},"finish_reason":"length"}]}`]
    if (this._includeUsage) payloads.push(`${this._chunkPrefix}[],"usage":${JSON.stringify(this._usage())}}`)
    payloads.push('[DONE]')
    return payloads
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
