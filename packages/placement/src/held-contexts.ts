/**
 * Which chats' contexts an endpoint is believed to hold, bounded. Dispatches and cache events add to it,
 * evictions take away. After a gap in the events nothing that was known before is believed until it is seen
 * again: the worst case of a gap is a cache miss, never a wait for a context that is gone.
 */
export class HeldContexts {
  private readonly _maximum: number
  /** Tokens by affinity key, in the order in which they were last seen. */
  private readonly _tokens = new Map<string, number>()

  /**
   * @param maximum most chats kept; those seen least recently are forgotten first
   */
  constructor (maximum: number) {
    this._maximum = maximum
  }

  /** Number of chats kept. */
  get size (): number {
    return this._tokens.size
  }

  /**
   * Tokens of a chat's context that the endpoint holds.
   * @param affinityKey the chat's key
   * @returns undefined if it is not believed to hold any
   */
  tokensOf (affinityKey: string): number | undefined {
    return this._tokens.get(affinityKey)
  }

  /**
   * Notes that the endpoint holds a chat's context.
   * @param affinityKey the chat's key
   * @param tokens its length in tokens
   */
  noteStored (affinityKey: string, tokens: number): void {
    this._tokens.delete(affinityKey)
    this._tokens.set(affinityKey, tokens)
    if (this._tokens.size <= this._maximum) return
    const oldest = this._tokens.keys().next()
    if (!oldest.done) this._tokens.delete(oldest.value)
  }

  /**
   * Notes that the endpoint dropped a chat's context.
   * @param affinityKey the chat's key
   */
  noteEvicted (affinityKey: string): void {
    this._tokens.delete(affinityKey)
  }

  /** Forgets everything: the endpoint restarted, or events were missed. */
  clear (): void {
    this._tokens.clear()
  }
}
