import type { ChatArrival } from './chat-arrival.js'
import type { EngineParameters } from './engine-parameters.js'

/** Request that is queued or running on a replayed engine. */
interface ReplayedRequest {
  readonly arrival: ChatArrival
  readyAt: number
  remainingTokens: number
  cachedTokens: number
}

/** Deterministic simulation of the batch and prefix cache of an engine, which behaves like the stand-in engines. */
export class ReplayedEngine {
  /** Whether the engine accepts requests. */
  live = true
  private readonly _parameters: EngineParameters
  private readonly _running = new Set<ReplayedRequest>()
  private readonly _waiting: ReplayedRequest[] = []
  private readonly _cache = new Map<number, number>()
  private _cacheTokens = 0
  private _nextStepAt = Infinity

  /**
   * @param parameters speed and memory of the engine
   */
  constructor (parameters: EngineParameters) {
    this._parameters = parameters
  }

  /** Number of running and queued requests. */
  get load (): number {
    return this._running.size + this._waiting.length
  }

  /**
   * Returns the number of cached tokens of a chat.
   * @param chat number of the chat
   */
  cachedTokens (chat: number): number {
    return this._cache.get(chat) ?? 0
  }

  /**
   * Adds a request.
   * @param arrival turn to compute
   * @param now time since the start, in milliseconds
   * @returns number of prompt tokens that are cached
   */
  add (arrival: ChatArrival, now: number): number {
    const request = { arrival, readyAt: 0, remainingTokens: arrival.responseTokens, cachedTokens: 0 }
    this._waiting.push(request)
    this._admit(now)
    if (this._nextStepAt === Infinity) this._nextStepAt = now + this._stepMs()
    return Math.min(this.cachedTokens(arrival.chat), arrival.promptTokens)
  }

  /**
   * Simulates all steps up to a point in time.
   * @param until time since the start, in milliseconds; steps at this time are included
   */
  advance (until: number): void {
    while (this._nextStepAt <= until) {
      const now = this._nextStepAt
      this._step(now)
      this._nextStepAt = this._running.size > 0 ? now + this._stepMs() : Infinity
    }
  }

  /**
   * Discards all requests and the cache, and stops accepting requests.
   * @returns the arrivals of the aborted requests
   */
  crash (): ChatArrival[] {
    const aborted = [...this._running, ...this._waiting].map((request) => request.arrival)
    this._running.clear()
    this._waiting.length = 0
    this._cache.clear()
    this._cacheTokens = 0
    this._nextStepAt = Infinity
    this.live = false
    return aborted
  }

  private _stepMs (): number {
    return this._parameters.tokenMs + this._parameters.tokenMsPerRequest * Math.max(this._running.size - 1, 0)
  }

  private _admit (now: number): void {
    while (this._running.size < this._parameters.capacity) {
      const request = this._waiting.shift()
      if (request === undefined) return
      const { chat, promptTokens } = request.arrival
      const cachedTokens = this._cache.get(chat) ?? 0
      if (cachedTokens > 0) this._touch(chat, cachedTokens)
      request.cachedTokens = Math.min(cachedTokens, promptTokens)
      request.readyAt = now + (promptTokens - request.cachedTokens) * this._parameters.prefillMsPerToken
      this._running.add(request)
    }
  }

  private _step (now: number): void {
    for (const request of this._running) {
      if (request.readyAt > now) continue
      request.remainingTokens -= 1
      if (request.remainingTokens > 0) continue
      this._running.delete(request)
      this._store(request.arrival.chat, request.arrival.promptTokens + request.arrival.responseTokens)
    }
    this._admit(now)
  }

  private _touch (chat: number, tokens: number): void {
    this._cache.delete(chat)
    this._cache.set(chat, tokens)
  }

  private _store (chat: number, tokens: number): void {
    this._cacheTokens += tokens - this.cachedTokens(chat)
    this._touch(chat, tokens)
    for (const [oldest, storedTokens] of this._cache) {
      if (this._cacheTokens <= this._parameters.cacheLimitTokens) return
      this._cache.delete(oldest)
      this._cacheTokens -= storedTokens
    }
  }
}
