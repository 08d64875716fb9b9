import type { PlacementClock } from './placement-clock.js'

/** A context and when the endpoint last used it. */
interface HeldContext {
  readonly tokens: number
  readonly seenAt: number
}

/**
 * Which chats' contexts an endpoint is believed to hold because it answered them, bounded in number and time:
 * what the endpoint evicts is not seen here. The worst case of a wrong belief is a short wait and a cache miss.
 */
export class HeldContexts {
  private readonly _clock: PlacementClock
  private readonly _maximum: number
  private readonly _keepMs: number
  /** By affinity key, in the order in which they were last seen. */
  private readonly _contexts = new Map<string, HeldContext>()

  /**
   * @param maximum most chats kept; those seen least recently are forgotten first
   * @param keepMs how long an answer is taken to prove that the context is there, in milliseconds
   * @param clock source of time
   */
  constructor (maximum: number, keepMs: number, clock: PlacementClock) {
    this._maximum = maximum
    this._keepMs = keepMs
    this._clock = clock
  }

  /** Number of chats kept. */
  get size (): number {
    return this._contexts.size
  }

  /**
   * Tokens of a chat's context that the endpoint holds.
   * @param affinityKey the chat's key
   * @returns undefined if it is not believed to hold any
   */
  tokensOf (affinityKey: string): number | undefined {
    const context = this._contexts.get(affinityKey)
    if (context === undefined) return undefined
    if (this._clock.now() - context.seenAt <= this._keepMs) return context.tokens
    this._contexts.delete(affinityKey)
    return undefined
  }

  /**
   * Notes that the endpoint holds a chat's context.
   * @param affinityKey the chat's key
   * @param tokens its length in tokens
   */
  noteStored (affinityKey: string, tokens: number): void {
    this._contexts.delete(affinityKey)
    this._contexts.set(affinityKey, { tokens, seenAt: this._clock.now() })
    if (this._contexts.size <= this._maximum) return
    const oldest = this._contexts.keys().next()
    if (!oldest.done) this._contexts.delete(oldest.value)
  }

  /** Forgets everything: the endpoint was lost, or has another owner. */
  clear (): void {
    this._contexts.clear()
  }
}
