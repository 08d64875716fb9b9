import type { CacheEventFeed } from './cache-event-feed.js'

/** Prompt prefixes by cache key, bounded in tokens; the least recently used go first. */
export class PrefixCache {
  private readonly _limitTokens: number
  private readonly _feed: CacheEventFeed
  /** In the order of use, the least recent first. */
  private readonly _tokens = new Map<string, number>()
  private _totalTokens = 0

  /**
   * @param limitTokens most tokens held
   * @param feed learns of every change
   */
  constructor (limitTokens: number, feed: CacheEventFeed) {
    this._limitTokens = limitTokens
    this._feed = feed
  }

  /** Tokens held. */
  get totalTokens (): number {
    return this._totalTokens
  }

  /** Most tokens held. */
  get limitTokens (): number {
    return this._limitTokens
  }

  /** Keys held. */
  get keys (): readonly string[] {
    return [...this._tokens.keys()]
  }

  /**
   * Tokens held for a key; does not count as use.
   * @param cacheKey the chat's key
   */
  tokensOf (cacheKey: string): number {
    return this._tokens.get(cacheKey) ?? 0
  }

  /**
   * Tokens of a prompt that are found; counts as use.
   * @param cacheKey the chat's key
   * @param promptTokens length of the prompt
   */
  use (cacheKey: string, promptTokens: number): number {
    const held = this._tokens.get(cacheKey)
    if (held === undefined) return 0
    this._tokens.delete(cacheKey)
    this._tokens.set(cacheKey, held)
    return Math.min(held, promptTokens)
  }

  /**
   * Keeps a chat's tokens and evicts others beyond the limit.
   * @param cacheKey the chat's key; nothing is kept for an empty one
   * @param tokens tokens of prompt and answer
   */
  store (cacheKey: string, tokens: number): void {
    if (cacheKey === '' || tokens > this._limitTokens) return
    this._totalTokens += tokens - this.tokensOf(cacheKey)
    this._tokens.delete(cacheKey)
    this._tokens.set(cacheKey, tokens)
    this._feed.publish('stored', cacheKey, tokens)
    this._evict()
  }

  /** Drops everything without events. */
  clear (): void {
    this._tokens.clear()
    this._totalTokens = 0
  }

  private _evict (): void {
    for (const [cacheKey, tokens] of this._tokens) {
      if (this._totalTokens <= this._limitTokens) return
      this._tokens.delete(cacheKey)
      this._totalTokens -= tokens
      this._feed.publish('evicted', cacheKey, tokens)
    }
  }
}
