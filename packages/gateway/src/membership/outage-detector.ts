import type { ElapsedClock } from '../model/elapsed-clock.js'
import type { Freshness } from './freshness.js'
import { OUTAGE_THRESHOLD_MS } from './outage-threshold-ms.js'
import { REREGISTRATION_MS } from './reregistration-ms.js'

/**
 * Detects whether removed entries may have expired only because the store was unavailable. This requires that no router
 * of the fleet could read the store: if the store refuses only one router, that router still receives updates from
 * other routers. A router that only lost touch with the others, or was suspended, has not seen the store fail. One that reached neither the store nor
 * the others knows nothing of the store, which may have served them all the time.
 */
export class OutageDetector {
  private readonly _clock: ElapsedClock
  private readonly _hasHeardOthersSince: (time: number) => boolean
  private readonly _freshness: Pick<Freshness, 'outageEndedAt'>
  private _failedAt = -Infinity

  /**
   * @param clock clock that includes suspensions, during which this router could not read the store either
   * @param hasHeardOthersSince returns whether another router has answered this one since a time of the clock, or there is no other
   * @param freshness end of the last outage, which is updated and which other routers may have told
   */
  constructor (clock: ElapsedClock, hasHeardOthersSince: (time: number) => boolean, freshness: Pick<Freshness, 'outageEndedAt'> = { outageEndedAt: -Infinity }) {
    this._clock = clock
    this._hasHeardOthersSince = hasHeardOthersSince
    this._freshness = freshness
  }

  /** Records that this router tried to read the endpoints and failed. */
  recordFailure (): void {
    this._failedAt = this._clock.now()
  }

  /**
   * Records a successful read of the endpoints.
   * @param previouslyVerifiedAt time at which the endpoints were last verified before this read; -Infinity if never
   */
  recordRead (previouslyVerifiedAt: number): void {
    if (previouslyVerifiedAt === -Infinity) return
    if (this._failedAt < previouslyVerifiedAt || !this._hasHeardOthersSince(previouslyVerifiedAt)) return
    if (this._clock.now() - previouslyVerifiedAt > OUTAGE_THRESHOLD_MS) this._freshness.outageEndedAt = this._clock.now()
  }

  /** End of the grace period for entries that are removed now; undefined while the store is available. */
  get gracePeriodEnd (): number | undefined {
    const end = this._freshness.outageEndedAt + REREGISTRATION_MS
    return this._clock.now() < end ? end : undefined
  }
}
