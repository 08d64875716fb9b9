import type { CacheEventFeed } from './cache-event-feed.js'

/** Prefix cache by cache key, limited in tokens, with least-recently-used eviction. It stores only token counts. */
export class PrefixCache {
  private readonly _limitTokens: number
  private readonly _feed: CacheEventFeed
  /** Token counts by cache key, the least recently used first. */
  private readonly _tokens = new Map<string, number>()
  private _totalTokens = 0

  /**
   * @param limitTokens maximum number of tokens in the cache
   * @param feed publishes the changes
   */
  constructor (limitTokens: number, feed: CacheEventFeed) {
    this._limitTokens = limitTokens
    this._feed = feed
  }

  /** Number of tokens in the cache. */
  get totalTokens (): number {
    return this._totalTokens
  }

  /** Maximum number of tokens in the cache. */
  get limitTokens (): number {
    return this._limitTokens
  }

  /** Cache keys, the least recently used first. */
  get keys (): readonly string[] {
    return [...this._tokens.keys()]
  }

  /**
   * Returns the number of tokens cached for a key, 0 if there are none. Does not affect the eviction order.
   * @param cacheKey cache key of the chat
   */
  tokensOf (cacheKey: string): number {
    return this._tokens.get(cacheKey) ?? 0
  }

  /**
   * Returns the number of prompt tokens found in the cache and marks the key as most recently used.
   * @param cacheKey cache key of the chat
   * @param promptTokens length of the prompt, in tokens
   */
  matchPrefix (cacheKey: string, promptTokens: number): number {
    const cachedTokens = this._tokens.get(cacheKey)
    if (cachedTokens === undefined) return 0
    this._tokens.delete(cacheKey)
    this._tokens.set(cacheKey, cachedTokens)
    return Math.min(cachedTokens, promptTokens)
  }

  /**
   * Stores the tokens of a chat and evicts the least recently used chats beyond the limit. A chat that exceeds the
   * limit by itself is not stored.
   * @param cacheKey cache key of the chat; an empty key stores nothing
   * @param tokens number of tokens of prompt and completion
   */
  store (cacheKey: string, tokens: number): void {
    if (cacheKey === '' || tokens > this._limitTokens) return
    this._totalTokens += tokens - this.tokensOf(cacheKey)
    this._tokens.delete(cacheKey)
    this._tokens.set(cacheKey, tokens)
    this._feed.publish('stored', cacheKey, tokens)
    this._evict()
  }

  /** Deletes all entries without publishing events. */
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
