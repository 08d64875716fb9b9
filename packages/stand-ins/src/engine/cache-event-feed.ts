import type { Clock } from '@mimosarock/coordination/clock.js'
import type { ModelEngineFaults } from '../model-engine-faults.js'
import type { SeededRandom } from '../seeded-random.js'

/** Events kept for readers that are behind. */
const RETAINED_EVENTS = 4_096

/** One change of the prefix cache, as it goes over the wire. */
interface CacheEvent {
  readonly sequence: number
  readonly kind: 'stored' | 'evicted' | 'cleared'
  readonly cache_key: string
  readonly tokens: number
}

/** Answer of a read of cache events. */
interface CacheEventPage {
  readonly oldest: number
  readonly newest: number
  readonly events: readonly CacheEvent[]
}

/** Publishes changes of the prefix cache late and, when switched on, with gaps. */
export class CacheEventFeed {
  private readonly _clock: Clock
  private readonly _faults: ModelEngineFaults
  private readonly _random: SeededRandom
  private _events: Array<{ at: number, event: CacheEvent }> = []
  private _sequence = 0

  /**
   * @param clock source of the lag
   * @param faults lag and losses
   * @param random decides which events are lost
   */
  constructor (clock: Clock, faults: ModelEngineFaults, random: SeededRandom) {
    this._clock = clock
    this._faults = faults
    this._random = random
  }

  /**
   * Publishes an event.
   * @param kind what happened
   * @param cacheKey the chat's key; empty for `cleared`
   * @param tokens tokens held after a `stored`, given up by an `evicted`
   */
  publish (kind: CacheEvent['kind'], cacheKey: string, tokens: number): void {
    this._sequence += 1
    const lost = kind !== 'cleared' && this._random.next() < this._faults.cacheEventLossShare
    if (lost) return
    const event: CacheEvent = { sequence: this._sequence, kind, cache_key: cacheKey, tokens }
    this._events.push({ at: this._clock.now(), event })
    if (this._events.length > 2 * RETAINED_EVENTS) this._events = this._events.slice(-RETAINED_EVENTS)
  }

  /** Forgets everything and starts over with `cleared` as number 1, as a restarted engine does. */
  restart (): void {
    this._events = []
    this._sequence = 0
    this.publish('cleared', '', 0)
  }

  /** Drops every event kept, so that readers find a gap. */
  dropKept (): void {
    this._events = []
  }

  /**
   * Reads events, waiting for one if none is there.
   * @param after last sequence that the reader has
   * @param waitMs longest wait, in milliseconds
   * @param signal ends the wait
   */
  async read (after: number, waitMs: number, signal: AbortSignal): Promise<CacheEventPage> {
    const until = this._clock.now() + waitMs
    let page = this._page(after)
    while (page.events.length === 0 && this._clock.now() < until && !signal.aborted) {
      await this._clock.sleep(Math.min(this._faults.cacheEventLagMs + 10, until - this._clock.now()), signal)
      page = this._page(after)
    }
    return page
  }

  private _page (after: number): CacheEventPage {
    const seenAt = this._clock.now() - this._faults.cacheEventLagMs
    const visible = this._events.filter((kept) => kept.at <= seenAt).map((kept) => kept.event)
    const newest = visible.at(-1)?.sequence ?? Math.min(after, this._sequence)
    return {
      oldest: this._events[0]?.event.sequence ?? this._sequence + 1,
      newest,
      // A reader that is ahead of the newest event has not seen the restart.
      events: after > newest ? visible : visible.filter((event) => event.sequence > after)
    }
  }
}
