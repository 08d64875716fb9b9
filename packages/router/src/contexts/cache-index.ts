import type { Clock } from '@mimosarock/coordination/clock.js'
import type { CacheEventPage } from './cache-event-page.js'
import type { CachedContext } from './cached-context.js'

/** Time for which an uncertain context is still reported after the gap that made it uncertain, in milliseconds. */
const UNCERTAIN_LIFETIME_MS = 60_000

type CacheEvent = CacheEventPage['events'][number]

interface IndexedContext {
  readonly tokens: number
  readonly updatedAt: number
  /** Number of gaps detected before the last event of this context. */
  readonly gapsBefore: number
}

/**
 * Index of the chat contexts in the cache of one engine, built from its cache events. Events arrive late and may be
 * lost: after a gap in their sequence all earlier entries are uncertain until another event confirms them; unconfirmed
 * entries expire.
 */
export class CacheIndex {
  private readonly _clock: Clock
  private readonly _maximumContexts: number
  /** Contexts by affinity key, least recently updated first. */
  private readonly _contexts = new Map<string, IndexedContext>()
  /** Detection time of each recent gap, in monotonic milliseconds, by the number of gaps before it. */
  private readonly _gapTimes = new Map<number, number>()
  private _position = 0
  private _gaps = 0

  /**
   * @param clock used to expire uncertain contexts
   * @param maximumContexts maximum number of contexts; beyond it the least recently updated one is removed
   */
  constructor (clock: Clock, maximumContexts: number) {
    this._clock = clock
    this._maximumContexts = maximumContexts
  }

  /** Sequence number up to which all events were applied or found to be lost; the next page starts after it. */
  get position (): number {
    return this._position
  }

  /** Number of contexts in the index, including uncertain ones. */
  get size (): number {
    return this._contexts.size
  }

  /** Number of gaps detected so far. */
  get gaps (): number {
    return this._gaps
  }

  /**
   * Looks up the context of a chat.
   * @param affinityKey affinity key of the chat
   * @returns undefined if the index has no entry for it or the entry has expired
   */
  get (affinityKey: string): CachedContext | undefined {
    const context = this._contexts.get(affinityKey)
    if (context === undefined) return undefined
    const certain = context.gapsBefore === this._gaps
    const uncertainSince = this._gapTimes.get(context.gapsBefore) ?? -Infinity
    if (!certain && this._clock.now() - uncertainSince > UNCERTAIN_LIFETIME_MS) {
      this._contexts.delete(affinityKey)
      return undefined
    }
    return { tokens: context.tokens, certain, updatedAt: context.updatedAt }
  }

  /**
   * Returns the contexts that the engine certainly held at the current position, most recently updated first.
   * @param limit maximum number of contexts returned
   */
  recent (limit: number): Array<{ affinityKey: string, tokens: number }> {
    return [...this._contexts]
      .filter(([, context]) => context.gapsBefore === this._gaps)
      .map(([affinityKey, context]) => ({ affinityKey, tokens: context.tokens }))
      .reverse()
      .slice(0, limit)
  }

  /**
   * Applies a page of the feed that was requested from the current position.
   * @param page if it ends before the current position, the engine has restarted and the index is cleared first
   */
  apply (page: CacheEventPage): void {
    const restarted = page.newest < this._position
    if (restarted) this._clear()
    if (page.oldest > this._position + 1) this._recordGap()
    for (const event of page.events) {
      if (event.sequence <= this._position) continue
      if (event.sequence > this._position + 1) this._recordGap()
      this._position = event.sequence
      this._applyEvent(event)
    }
    if (page.newest > this._position) {
      this._recordGap()
      this._position = page.newest
    }
  }

  /**
   * Marks all contexts as uncertain and returns to the beginning of the feed, because the engine may have restarted
   * unnoticed.
   */
  resync (): void {
    this._recordGap()
    this._position = 0
  }

  private _applyEvent (event: CacheEvent): void {
    if (event.kind === 'cleared') {
      this._contexts.clear()
      return
    }
    this._contexts.delete(event.cache_key)
    if (event.kind === 'evicted') return
    this._contexts.set(event.cache_key, { tokens: event.tokens, updatedAt: this._clock.now(), gapsBefore: this._gaps })
    if (this._contexts.size <= this._maximumContexts) return
    const oldest = this._contexts.keys().next()
    if (!oldest.done) this._contexts.delete(oldest.value)
  }

  private _recordGap (): void {
    const now = this._clock.now()
    this._gapTimes.set(this._gaps, now)
    this._gaps += 1
    for (const [gap, detectedAt] of this._gapTimes) {
      if (now - detectedAt <= UNCERTAIN_LIFETIME_MS) break
      this._gapTimes.delete(gap)
    }
  }

  private _clear (): void {
    this._contexts.clear()
    this._position = 0
  }
}
