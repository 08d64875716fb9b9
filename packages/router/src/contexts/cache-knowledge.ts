import type { Clock } from '@mimosarock/coordination/clock.js'
import type { CacheEventPage } from './cache-event-page.js'
import type { HeldContext } from './held-context.js'

/** How long a context that may be gone is still named, in milliseconds. */
const DOUBT_MS = 60_000

type CacheEvent = CacheEventPage['events'][number]

interface KnownContext {
  readonly tokens: number
  readonly heardAt: number
  /** Number of gaps found before it was heard of. */
  readonly gapsBefore: number
}

/**
 * Which chats' contexts one engine holds, by its cache events. Events come late and may be lost: after a gap
 * everything known before is doubtful until an event names it again, and is forgotten if none does.
 */
export class CacheKnowledge {
  private readonly _clock: Clock
  private readonly _maximum: number
  /** In the order in which the contexts were last heard of. */
  private readonly _contexts = new Map<string, KnownContext>()
  /** When each of the last gaps was found, in monotonic milliseconds, by the number of gaps before it. */
  private readonly _gapTimes = new Map<number, number>()
  private _position = 0
  private _gaps = 0

  /**
   * @param clock source of time
   * @param maximum most contexts remembered
   */
  constructor (clock: Clock, maximum: number) {
    this._clock = clock
    this._maximum = maximum
  }

  /** Sequence of the last event that was applied; reading goes on after it. */
  get position (): number {
    return this._position
  }

  /** Contexts remembered, doubtful ones included. */
  get size (): number {
    return this._contexts.size
  }

  /** Gaps found so far. */
  get gaps (): number {
    return this._gaps
  }

  /**
   * What is known of a chat's context.
   * @param affinityKey the chat's key
   * @returns undefined if the engine is not known to hold it
   */
  get (affinityKey: string): HeldContext | undefined {
    const context = this._contexts.get(affinityKey)
    if (context === undefined) return undefined
    const certain = context.gapsBefore === this._gaps
    const doubtfulSince = this._gapTimes.get(context.gapsBefore) ?? -Infinity
    if (!certain && this._clock.now() - doubtfulSince > DOUBT_MS) {
      this._contexts.delete(affinityKey)
      return undefined
    }
    return { tokens: context.tokens, certain, heardAt: context.heardAt }
  }

  /**
   * Contexts that the engine surely held at the current position, those heard of last first.
   * @param limit most contexts wanted
   */
  recent (limit: number): Array<{ affinityKey: string, tokens: number }> {
    return [...this._contexts]
      .filter(([, context]) => context.gapsBefore === this._gaps)
      .map(([affinityKey, context]) => ({ affinityKey, tokens: context.tokens }))
      .reverse()
      .slice(0, limit)
  }

  /**
   * Applies an answer of the feed to a read after the current position.
   * @param page the answer
   */
  apply (page: CacheEventPage): void {
    const restarted = page.newest < this._position
    if (restarted) this._clear()
    if (page.oldest > this._position + 1) this._noteGap()
    for (const event of page.events) {
      if (event.sequence <= this._position) continue
      if (event.sequence > this._position + 1) this._noteGap()
      this._position = event.sequence
      this._applyEvent(event)
    }
    if (page.newest > this._position) {
      this._noteGap()
      this._position = page.newest
    }
  }

  /** Distrusts everything and reads the feed from its start, since the engine may have restarted unseen. */
  resync (): void {
    this._noteGap()
    this._position = 0
  }

  private _applyEvent (event: CacheEvent): void {
    if (event.kind === 'cleared') {
      this._contexts.clear()
      return
    }
    this._contexts.delete(event.cache_key)
    if (event.kind === 'evicted') return
    this._contexts.set(event.cache_key, { tokens: event.tokens, heardAt: this._clock.now(), gapsBefore: this._gaps })
    if (this._contexts.size <= this._maximum) return
    const oldest = this._contexts.keys().next()
    if (!oldest.done) this._contexts.delete(oldest.value)
  }

  private _noteGap (): void {
    const now = this._clock.now()
    this._gapTimes.set(this._gaps, now)
    this._gaps += 1
    for (const [gap, at] of this._gapTimes) {
      if (now - at <= DOUBT_MS) break
      this._gapTimes.delete(gap)
    }
  }

  private _clear (): void {
    this._contexts.clear()
    this._position = 0
  }
}
