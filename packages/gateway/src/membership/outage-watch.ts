import type { ElapsedClock } from '../model/elapsed-clock.js'

/** Age of the endpoints above which the whole fleet must have lost the store; a change of the reader takes less. */
const OUTAGE_AGE_MS = 2_200
/** Time after an outage in which endpoints that live register again. */
const RETURN_MS = 2_100

/**
 * Tells whether entries that vanish may have lapsed only because the store was away. What counts is that nobody in
 * the fleet could read it: a router that alone is refused keeps hearing of the others.
 */
export class OutageWatch {
  private readonly _clock: ElapsedClock
  private _returnedAt = -Infinity

  /**
   * @param clock counts suspensions, during which this router could not read either
   */
  constructor (clock: ElapsedClock) {
    this._clock = clock
  }

  /**
   * Notes that the endpoints were read.
   * @param previouslyVerifiedAt moment up to which they were known before; -Infinity for never
   */
  read (previouslyVerifiedAt: number): void {
    if (previouslyVerifiedAt === -Infinity) return
    if (this._clock.now() - previouslyVerifiedAt > OUTAGE_AGE_MS) this._returnedAt = this._clock.now()
  }

  /** Moment until which entries that vanish now are still used; undefined while the store is sound. */
  get lapsedUntil (): number | undefined {
    const until = this._returnedAt + RETURN_MS
    return this._clock.now() < until ? until : undefined
  }
}
