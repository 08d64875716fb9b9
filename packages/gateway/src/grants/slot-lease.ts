import type { StatedLoad } from '../model/stated-load.js'
import type { ElapsedClock } from '../model/elapsed-clock.js'
import type { SlotGrant } from './slot-grant.js'
import type { SlotLink } from './slot-link.js'
import type { SlotOutcome } from './slot-outcome.js'

/** A grant that this router has received. It is released exactly once, however often `release` is called. */
export class SlotLease {
  /** The grant. */
  readonly grant: SlotGrant
  /** Name of the owner that granted it. */
  readonly owner: string
  private readonly _link: SlotLink
  private readonly _clock: ElapsedClock
  private readonly _receivedAt: number
  private _isReleased = false

  /**
   * @param grant the grant
   * @param owner name of the owner that granted it
   * @param link link to the owner
   * @param clock measures the use of the grant
   */
  constructor (grant: SlotGrant, owner: string, link: SlotLink, clock: ElapsedClock) {
    this.grant = grant
    this.owner = owner
    this._link = link
    this._clock = clock
    this._receivedAt = clock.now()
  }

  /**
   * Returns the grant to its owner. Without effect if it was returned before.
   * @param outcome how its use ended
   * @param load load that the endpoint stated at the end; undefined if it stated none
   */
  release (outcome: SlotOutcome, load?: StatedLoad): void {
    if (this._isReleased) return
    this._isReleased = true
    const elapsedMs = Math.round((this._clock.now() - this._receivedAt) * 10) / 10
    this._link.release({ grant: this.grant.grant, outcome, elapsedMs, load })
  }
}
