import type { Clock } from '@mimosarock/coordination/clock.js'
import type { ModelEngineFaults } from '../model-engine-faults.js'
import type { SeededRandom } from '../seeded-random.js'

/** Minimum number of newest events retained for readers that lag behind; at most twice as many are retained. */
const RETAINED_EVENTS = 4_096

/** Change of the prefix cache, in wire format. */
interface CacheEvent {
  readonly sequence: number
  readonly kind: 'stored' | 'evicted' | 'cleared'
  readonly cache_key: string
  readonly tokens: number
}

/** Response to a read of cache events, in wire format. */
interface CacheEventPage {
  readonly oldest: number
  readonly newest: number
  readonly events: readonly CacheEvent[]
}

/** Publishes changes of the prefix cache, with a lag and with gaps if these faults are enabled. */
export class CacheEventFeed {
  private readonly _clock: Clock
  private readonly _faults: ModelEngineFaults
  private readonly _random: SeededRandom
  private _events: Array<{ publishedAt: number, event: CacheEvent }> = []
  private _sequence = 0

  /**
   * @param clock measures the lag
   * @param faults lag and loss probability of events
   * @param random selects the events that are lost
   */
  constructor (clock: Clock, faults: ModelEngineFaults, random: SeededRandom) {
    this._clock = clock
    this._faults = faults
    this._random = random
  }

  /**
   * Publishes an event, unless it is selected for loss. A lost event uses up its sequence number; `cleared` is never
   * lost.
   * @param kind type of the change
   * @param cacheKey cache key of the chat; empty for `cleared`
   * @param tokens number of tokens in the cache after `stored`, or number of tokens removed by `evicted`
   */
  publish (kind: CacheEvent['kind'], cacheKey: string, tokens: number): void {
    this._sequence += 1
    const isLost = kind !== 'cleared' && this._random.next() < this._faults.cacheEventLossProbability
    if (isLost) return
    const event: CacheEvent = { sequence: this._sequence, kind, cache_key: cacheKey, tokens }
    this._events.push({ publishedAt: this._clock.now(), event })
    if (this._events.length > 2 * RETAINED_EVENTS) this._events = this._events.slice(-RETAINED_EVENTS)
  }

  /** Deletes all events and restarts the sequence with `cleared` as number 1, as a restarted engine does. */
  restart (): void {
    this._events = []
    this._sequence = 0
    this.publish('cleared', '', 0)
  }

  /** Deletes all retained events, which leaves a gap for readers that have not read them. */
  dropRetained (): void {
    this._events = []
  }

  /**
   * Reads the visible events after a sequence number, waiting for one if there is none yet.
   * @param after sequence number of the last event that the reader has
   * @param waitMs maximum wait, in milliseconds
   * @param signal ends the wait early
   * @returns the events; none if the wait ended first
   */
  async read (after: number, waitMs: number, signal: AbortSignal): Promise<CacheEventPage> {
    const deadline = this._clock.now() + waitMs
    let page = this._page(after)
    while (page.events.length === 0 && this._clock.now() < deadline && !signal.aborted) {
      await this._clock.sleep(Math.min(this._faults.cacheEventLagMs + 10, deadline - this._clock.now()), signal)
      page = this._page(after)
    }
    return page
  }

  private _page (after: number): CacheEventPage {
    const visibleUntil = this._clock.now() - this._faults.cacheEventLagMs
    const visible = this._events.filter((retained) => retained.publishedAt <= visibleUntil).map((retained) => retained.event)
    const newest = visible.at(-1)?.sequence ?? Math.min(after, this._sequence)
    return {
      oldest: this._events[0]?.event.sequence ?? this._sequence + 1,
      newest,
      // A position beyond the newest event dates from before a restart; the reader gets all events since the restart.
      events: after > newest ? visible : visible.filter((event) => event.sequence > after)
    }
  }
}
