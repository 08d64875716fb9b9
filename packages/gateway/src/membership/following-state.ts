import type { EventLog } from '@mimosarock/coordination/event-log.js'
import type { ElapsedClock } from '../model/elapsed-clock.js'
import type { RouterEntry } from '../model/router-entry.js'

/** How long a router counts as a follower after the last answer of the router that it follows. */
const FOLLOWING_TIMEOUT_MS = 1_500

/** Where this router gets the state of the fleet: from the store, as the reader, or from another router that it follows. */
export class FollowingState {
  private readonly _clock: ElapsedClock
  private readonly _log: EventLog
  private _source: string | undefined
  private _isReader = false
  private _sourceDistance = Infinity
  private _lastFollowedAt = -Infinity

  /**
   * @param clock clock for the timeout
   * @param log logs changes of the source
   */
  constructor (clock: ElapsedClock, log: EventLog) {
    this._clock = clock
    this._log = log
  }

  /** Whether this router has to read the store, because no router ahead of it in the order is known to be fresh. */
  get isReader (): boolean {
    return this._isReader
  }

  /** Name of the router that this one follows; undefined if it reads the store itself and follows none. */
  get source (): string | undefined {
    return this._source
  }

  /** Milliseconds since the last answer of a followed router; Infinity if there was none. */
  get sinceFollowedMs (): number {
    return this._clock.now() - this._lastFollowedAt
  }

  /** Number of routers between this router and the store by way of the router that it follows; Infinity if it follows none. */
  get distance (): number {
    return this.sinceFollowedMs < FOLLOWING_TIMEOUT_MS ? this._sourceDistance + 1 : Infinity
  }

  /** Whether this router gets from another one what it does not read from the store itself. */
  get isFollowing (): boolean {
    const readsForItself = this._isReader && this._source === undefined
    return !readsForItself && this.distance < Infinity
  }

  /**
   * Records an answer of the router that this one follows.
   * @param router the followed router
   * @param distance number of routers between that router and the store
   * @param precedesSelf whether that router precedes this one in the reader order; if not, this one keeps reading
   */
  follow (router: RouterEntry, distance: number, precedesSelf: boolean): void {
    this._sourceDistance = distance
    this._lastFollowedAt = this._clock.now()
    if (this._source === router.name && this._isReader !== precedesSelf) return
    this._isReader = !precedesSelf
    this._source = router.name
    this._log.info('knowledge-source', { source: router.name, reads_store: this._isReader })
  }

  /**
   * Makes this router the reader.
   * @param isStoreFailing whether its own reads fail; a reader then keeps following the router that has the state
   */
  becomeReader (isStoreFailing: boolean): void {
    if (this._isReader && (this._source === undefined || isStoreFailing)) return
    this._isReader = true
    this._source = undefined
    this._log.info('knowledge-source', { source: 'store' })
  }
}
