import { RendezvousOrder } from '@mimosarock/placement/rendezvous-order.js'
import type { ElapsedClock } from '../model/elapsed-clock.js'
import type { RouterEntry } from '../model/router-entry.js'
import type { RouterContact } from './router-contact.js'

/** Time without contact after which a router is removed. */
const ROUTER_TIMEOUT_MS = 12_000
/** Time without contact after which a router is removed in a large fleet, where lists of routers are exchanged less often. */
const LARGE_FLEET_ROUTER_TIMEOUT_MS = 60_000
/** Number of routers from which a fleet is large. A single reader would have to answer 250 requests a second from this many. */
const LARGE_FLEET_ROUTERS = 64
/** Key of the rendezvous order in which routers are preferred as the reader of the store. */
const READER_ORDER_KEY = '00000000feed0001'

/** A router and the time of the last contact with it. */
interface KnownRouter {
  readonly entry: RouterEntry
  heardAt: number
}

/** All live routers as members of rendezvous orders. */
type RouterOrder = RendezvousOrder<{ readonly name: string, readonly capacity: number, readonly entry: RouterEntry }>

/** Live routers of the fleet known to this router. */
export class RouterTable {
  private readonly _self: RouterEntry
  private readonly _clock: ElapsedClock
  private readonly _known = new Map<string, KnownRouter>()
  /** All live routers in reader order; undefined after a change of the members. */
  private _readerOrder: readonly RouterEntry[] | undefined
  /** Rendezvous order of all live routers; undefined after a change of the members. */
  private _order: RouterOrder | undefined

  /**
   * @param self entry of this router
   * @param clock clock for the expiry of routers
   */
  constructor (self: RouterEntry, clock: ElapsedClock) {
    this._self = self
    this._clock = clock
  }

  /** Entry of this router. */
  get self (): RouterEntry {
    return this._self
  }

  /** Number of live routers, including this one. */
  get size (): number {
    this._removeExpired()
    return this._known.size + 1
  }

  /**
   * Records contact with a router, either direct or reported by another router.
   * @param entry entry of the router
   * @param agoMs time since the contact, in milliseconds
   */
  recordContact (entry: RouterEntry, agoMs: number): void {
    if (entry.name === this._self.name) return
    const heardAt = this._clock.now() - agoMs
    const known = this._known.get(entry.name)
    if (known === undefined || (known.entry.address !== entry.address && heardAt > known.heardAt)) {
      if (agoMs >= this._routerTimeoutMs) return
      this._known.set(entry.name, { entry, heardAt })
      this._forgetOrders()
      return
    }
    known.heardAt = Math.max(known.heardAt, heardAt)
  }

  /** Returns all live routers, including this one, in their order of preference as the reader of the store. */
  inReaderOrder (): readonly RouterEntry[] {
    this._removeExpired()
    this._readerOrder ??= this._computeReaderOrder()
    return this._readerOrder
  }

  /** Position of this router in the reader order, on which all routers agree; 0 is the first. */
  get ownRank (): number {
    return this.inReaderOrder().findIndex(({ name }) => name === this._self.name)
  }

  /**
   * Whether the fleet is large enough that the routers of an availability zone follow one of them instead of the
   * reader.
   */
  get isLarge (): boolean {
    return this.size >= LARGE_FLEET_ROUTERS
  }

  /**
   * Returns the live routers of this router's availability zone, including this one, in their order of preference for
   * following the reader on behalf of the zone.
   */
  inZoneOrder (): readonly RouterEntry[] {
    return this.inReaderOrder().filter(({ availabilityZone }) => availabilityZone === this._self.availabilityZone)
  }

  /** Returns all live routers, including this one, with the time since the last contact, to be sent to another router. */
  contacts (): RouterContact[] {
    this._removeExpired()
    const now = this._clock.now()
    const peers = [...this._known.values()].map(({ entry, heardAt }) => ({ ...entry, heardAgoMs: Math.ceil(now - heardAt) }))
    return [{ ...this._self, heardAgoMs: 0 }, ...peers]
  }

  /** All live routers, including this one, as members of rendezvous orders; the same object until the members change. */
  get order (): RouterOrder {
    this._removeExpired()
    this._order ??= this._computeOrder()
    return this._order
  }

  private _computeOrder (): RouterOrder {
    const entries = [this._self, ...[...this._known.values()].map((known) => known.entry)]
    return new RendezvousOrder(entries.map((entry) => ({ name: entry.name, capacity: 1, entry })))
  }

  private _computeReaderOrder (): readonly RouterEntry[] {
    return this.order.first(READER_ORDER_KEY, this.order.size).map((member) => member.entry)
  }

  private _forgetOrders (): void {
    this._readerOrder = undefined
    this._order = undefined
  }

  private get _routerTimeoutMs (): number {
    return this._known.size + 1 < LARGE_FLEET_ROUTERS ? ROUTER_TIMEOUT_MS : LARGE_FLEET_ROUTER_TIMEOUT_MS
  }

  private _removeExpired (): void {
    const minimumHeardAt = this._clock.now() - this._routerTimeoutMs
    for (const [name, known] of this._known) {
      if (known.heardAt >= minimumHeardAt) continue
      this._known.delete(name)
      this._forgetOrders()
    }
  }
}
