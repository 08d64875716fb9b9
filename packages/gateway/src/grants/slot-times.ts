import { ServiceTimes } from '@mimosarock/placement/service-times.js'
import type { ElapsedClock } from '../model/elapsed-clock.js'

/** Half-life of the longest time, in milliseconds: a single long request is forgotten after some minutes. */
const LONGEST_HALF_LIFE_MS = 60_000
/** Multiple of the longest time after which a grant without a release counts as lost. */
const LOST_MULTIPLE = 2
/** Minimum time after which a grant counts as lost, in milliseconds: a packet that is lost delays a release by more than 200 ms. */
const MINIMUM_LOST_MS = 500
/** Maximum number of requests above the slots of an endpoint. */
const MAXIMUM_PIPELINE = 2

/** Times of the grants of one service. */
export class SlotTimes {
  private readonly _times = new ServiceTimes()
  private readonly _transits = new ServiceTimes()
  private readonly _clock: ElapsedClock
  private _longestMs = 0
  private _longestAt = 0

  /**
   * @param clock measures the age of the longest time
   */
  constructor (clock: ElapsedClock) {
    this._clock = clock
  }

  /** Mean time for which a router uses a grant, in milliseconds; 0 before the first release. */
  get serviceMs (): number {
    return this._times.serviceMs
  }

  /** Time without a release after which a grant counts as lost, in milliseconds; Infinity before the first release. */
  get lostAfterMs (): number {
    return this._longestMs === 0 ? Infinity : Math.max(MINIMUM_LOST_MS, this._longestMs * LOST_MULTIPLE)
  }

  /**
   * Records a grant that was released.
   * @param usedMs time from the receipt of the grant to its release, as the router measured it, in milliseconds
   * @param heldMs time from the grant to the receipt of its release, as the owner measured it, in milliseconds
   */
  record (usedMs: number, heldMs: number): void {
    this._times.recordServiceTime(usedMs)
    this._transits.recordServiceTime(Math.max(0, heldMs - usedMs))
    this.recordLongest(heldMs)
  }

  /**
   * Records the time of a grant whose end was noticed late.
   * @param heldMs time from the grant to the receipt of its release, in milliseconds
   */
  recordLongest (heldMs: number): void {
    const now = this._clock.now()
    this._longestMs = Math.max(this._longestMs * 2 ** ((this._longestAt - now) / LONGEST_HALF_LIFE_MS), heldMs)
    this._longestAt = now
  }

  /**
   * Returns how many requests may be at an endpoint above its slots: as many as fit into the time from the end of a request
   * there to the arrival of the next one. That time is about two round trips between router and owner, since the delays between router
   * and endpoint are about the same.
   * @param slots slots of the endpoint
   */
  pipelineAllowance (slots: number): number {
    if (this.serviceMs === 0) return 1
    const releaseDelayMs = this._transits.serviceMs * 2
    return Math.max(1, Math.min(MAXIMUM_PIPELINE, Math.ceil(slots * releaseDelayMs / this.serviceMs)))
  }
}
