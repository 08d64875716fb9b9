import type { ElapsedClock } from '../model/elapsed-clock.js'
import type { OverdueReadingOptions } from './overdue-reading-options.js'

/** Time after a failed read in which a router that reads only because its state is too old leaves reading to others. */
const HOLD_OFF_MS = 3_000

/**
 * Decides when a router reads the store itself because its copy has become too old, whatever the router that it follows says. Thus the
 * age is bounded although the search for another router to follow may take long: it may meet several that do not answer, or have
 * nothing newer themselves.
 *
 * While the store is unavailable to the whole fleet, each copy becomes too old. Then reading is left to the first routers of the reader
 * order, as the calls of all others would fail as well.
 */
export class OverdueReading {
  private readonly _options: OverdueReadingOptions
  private readonly _clock: ElapsedClock
  private _heldOffUntil = -Infinity

  /**
   * @param options state of this router
   * @param clock clock of the ages, which includes suspensions
   */
  constructor (options: OverdueReadingOptions, clock: ElapsedClock) {
    this._options = options
    this._clock = clock
  }

  /**
   * Whether this router has to read the store.
   * @param verifiedAt time of the clock as of which the copy is known to be current; -Infinity if there is none, which is always read
   * @param maximumAgeMs age from which it is too old, in milliseconds
   */
  isDue (verifiedAt: number, maximumAgeMs: number): boolean {
    if (verifiedAt === -Infinity) return true
    return this._clock.now() - verifiedAt >= maximumAgeMs && !this.isHeldOff
  }

  /** Whether reading is left to others, since the store is probably unavailable to this router or to the whole fleet. */
  get isHeldOff (): boolean {
    return this._clock.now() < this._heldOffUntil || this._options.isOutageSuspected()
  }

  /** Records that a read of the store failed. */
  recordFailure (): void {
    if (!this._options.isReader()) this._heldOffUntil = this._clock.now() + HOLD_OFF_MS
  }
}
