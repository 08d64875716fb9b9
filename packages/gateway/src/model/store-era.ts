import type { EventLog } from '@mimosarock/coordination/event-log.js'
import type { ElapsedClock } from './elapsed-clock.js'
import type { EraNews } from './era-news.js'

/**
 * Time after a change of the era in which the operator and the endpoints write again what the store lost. Before its
 * end the store's content does not show that something is absent or unchanged.
 */
const SETTLING_MS = 2_100

/**
 * Era of the store, a number that rises each time the store comes back from an older copy. Whatever was written after
 * that copy was made is lost, and offsets are assigned again.
 *
 * The client of the store observes the era in each answer; other routers pass it on. Everything derived from the store
 * is bound to an era through its `StorePosition`.
 */
export class StoreEra {
  private readonly _clock: ElapsedClock
  private readonly _log: EventLog
  private readonly _listeners: (() => void)[] = []
  private _number: number | undefined
  private _changedAt = -Infinity
  /** Whether the store has given answers without its era, from which something may have been derived. */
  private _hasAnsweredWithout = false

  /**
   * @param clock clock for the settling time
   * @param log logs each change of the era
   */
  constructor (clock: ElapsedClock, log: EventLog) {
    this._clock = clock
    this._log = log
  }

  /** Newest era known; undefined until the store has stated one. */
  get number (): number | undefined {
    return this._number
  }

  /** Time by the clock at which the change to this era was noticed; -Infinity if the era has not changed. */
  get changedAt (): number {
    return this._changedAt
  }

  /** End of the time in which lost content is written again; -Infinity if the era has not changed. */
  get settledAt (): number {
    return this._changedAt + SETTLING_MS
  }

  /** Whether lost content may still be written again. */
  get isSettling (): boolean {
    return this._clock.now() < this.settledAt
  }

  /** What this router tells others. */
  get news (): EraNews {
    const changedAgoMs = this._changedAt === -Infinity ? undefined : Math.floor(this._clock.now() - this._changedAt)
    return { era: this._number, changedAgoMs }
  }

  /**
   * Adds a listener that is called after each change of the era, with `number` already changed.
   * @param listener listener; it is called without arguments
   */
  onChange (listener: () => void): void {
    this._listeners.push(listener)
  }

  /**
   * Records an era that the store stated. The first one is not a change if there is nothing yet that it could invalidate.
   * @param era era of the store
   */
  observe (era: number): void {
    const isFirst = this._number === undefined && !this._hasAnsweredWithout
    if (isFirst) this._number = era
    else if (this._number === undefined || era > this._number) this._change(era, this._clock.now(), 'store')
  }

  /** Records that the store gave an answer without its era, so that the first era it states may be a newer one. */
  observeMissing (): void {
    this._hasAnsweredWithout = true
  }

  /**
   * Records the era that another router knows.
   * @param news what the router told; undefined if its version tells no era
   * @param source name of the router, for the log
   */
  learn (news: EraNews | undefined, source: string): void {
    if (news?.era === undefined) return
    this._number ??= news.era
    const changedAt = this._clock.now() - (news.changedAgoMs ?? 0)
    if (news.era > this._number) this._change(news.era, changedAt, source)
    // A router that started after a change has not seen it.
    const hasMissedChange = news.era === this._number && this._changedAt === -Infinity && news.changedAgoMs !== undefined
    if (hasMissedChange && news.changedAgoMs < SETTLING_MS) this._change(news.era, changedAt, source)
  }

  /**
   * Whether another router knows the same era.
   * @param news what the router told
   */
  isSame (news: EraNews | undefined): boolean {
    return news !== undefined && news.era === this._number
  }

  private _change (era: number, changedAt: number, source: string): void {
    const previous = this._number
    this._number = era
    this._changedAt = changedAt
    this._log.warn('store-era-changed', { era, previous, source })
    for (const listener of this._listeners) listener()
  }
}
