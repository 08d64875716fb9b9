import type { ChatArrival } from './chat-arrival.js'
import type { EngineRules } from './engine-rules.js'

/** A request in a replayed engine. */
interface ReplayedRequest {
  readonly arrival: ChatArrival
  readyAt: number
  left: number
  cachedTokens: number
}

/** An engine's batch and cache as functions of what arrives, by the rules of the stand-in engines. */
export class ReplayedEngine {
  /** Whether it takes requests. */
  live = true
  private readonly _rules: EngineRules
  private readonly _running = new Set<ReplayedRequest>()
  private readonly _waiting: ReplayedRequest[] = []
  private readonly _cache = new Map<number, number>()
  private _cacheTokens = 0
  private _stepAt = Infinity

  /**
   * @param rules speed and memory
   */
  constructor (rules: EngineRules) {
    this._rules = rules
  }

  /** Requests that run or wait. */
  get load (): number {
    return this._running.size + this._waiting.length
  }

  /**
   * Tokens of a chat in the cache.
   * @param chat number of the chat
   */
  cachedTokens (chat: number): number {
    return this._cache.get(chat) ?? 0
  }

  /**
   * Takes a request.
   * @param arrival the request
   * @param now time, in milliseconds
   * @returns prompt tokens that are found in the cache
   */
  add (arrival: ChatArrival, now: number): number {
    const request = { arrival, readyAt: 0, left: arrival.answerTokens, cachedTokens: 0 }
    this._waiting.push(request)
    this._admit(now)
    if (this._stepAt === Infinity) this._stepAt = now + this._stepMs()
    return Math.min(this.cachedTokens(arrival.chat), arrival.promptTokens)
  }

  /**
   * Runs until a time.
   * @param until the time, in milliseconds
   */
  advance (until: number): void {
    while (this._stepAt <= until) {
      const now = this._stepAt
      this._step(now)
      this._stepAt = this._running.size > 0 ? now + this._stepMs() : Infinity
    }
  }

  /**
   * Loses everything, as an engine that is lost.
   * @returns the requests that were cut off
   */
  lose (): ChatArrival[] {
    const cutOff = [...this._running, ...this._waiting].map((request) => request.arrival)
    this._running.clear()
    this._waiting.length = 0
    this._cache.clear()
    this._cacheTokens = 0
    this._stepAt = Infinity
    this.live = false
    return cutOff
  }

  private _stepMs (): number {
    return this._rules.tokenMs + this._rules.tokenMsPerRequest * Math.max(this._running.size - 1, 0)
  }

  private _admit (now: number): void {
    while (this._running.size < this._rules.capacity) {
      const request = this._waiting.shift()
      if (request === undefined) return
      const { chat, promptTokens } = request.arrival
      const held = this._cache.get(chat) ?? 0
      if (held > 0) this._touch(chat, held)
      request.cachedTokens = Math.min(held, promptTokens)
      request.readyAt = now + (promptTokens - request.cachedTokens) * this._rules.prefillMsPerToken
      this._running.add(request)
    }
  }

  private _step (now: number): void {
    for (const request of this._running) {
      if (request.readyAt > now) continue
      request.left -= 1
      if (request.left > 0) continue
      this._running.delete(request)
      this._store(request.arrival.chat, request.arrival.promptTokens + request.arrival.answerTokens)
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
    for (const [oldest, held] of this._cache) {
      if (this._cacheTokens <= this._rules.cacheLimitTokens) return
      this._cache.delete(oldest)
      this._cacheTokens -= held
    }
  }
}
