import { hash } from '@mimosarock/placement/hash.js'
import type { RouterEntry } from '../model/router-entry.js'
import type { SlotOwnershipOptions } from './slot-ownership-options.js'

/** Time for which the members and the slots of a service are not looked up again, in milliseconds. */
const CACHE_MS = 50
/** Number of routers of a service's order that are considered as owners. More are never lost without a change of the members. */
const MAXIMUM_CANDIDATES = 4
/** Number of hexadecimal digits of a key of a rendezvous order. */
const KEY_DIGITS = 16

/** What is known of one service. */
interface ServiceRecord {
  readonly until: number
  readonly usesGrants: boolean
  /** Routers that may own its slots, the first one first. */
  readonly candidates: readonly RouterEntry[]
}

/**
 * Decides which services use slot grants, and which router owns their slots: the first live router of the rendezvous order of
 * the service's name that can be reached.
 */
export class SlotOwnership {
  private readonly _options: SlotOwnershipOptions
  private readonly _services = new Map<string, ServiceRecord>()
  private _order: SlotOwnershipOptions['routers']['order'] | undefined
  private _orderUntil = -Infinity

  /**
   * @param options members, endpoints and settings
   */
  constructor (options: SlotOwnershipOptions) {
    this._options = options
  }

  /**
   * Returns whether a service uses slot grants: its endpoints have fewer slots in all than there are routers.
   * @param service name of the service
   */
  usesGrants (service: string): boolean {
    return this._record(service).usesGrants
  }

  /**
   * Returns the router that owns the slots of a service; undefined if none can be reached.
   * @param service name of the service
   */
  ownerOf (service: string): RouterEntry | undefined {
    return this._record(service).candidates.find((router) => this._isUp(router))
  }

  /**
   * Returns whether this router owns the slots of a service.
   * @param service name of the service
   */
  owns (service: string): boolean {
    return this.usesGrants(service) && this.ownerOf(service)?.name === this._options.routers.self.name
  }

  /**
   * Returns the routers to which connections are to be open, for all services that use grants: the owner of each, and those before it in
   * its order, which take over again once they can be reached.
   */
  wantedRouters (): readonly RouterEntry[] {
    if (!this._options.isEnabled()) return []
    const services = new Set<string>()
    for (const { service } of this._options.endpoints.entries) services.add(service)
    const wanted = new Set<RouterEntry>()
    for (const service of services) {
      const { usesGrants, candidates } = this._record(service)
      if (!usesGrants) continue
      for (const router of candidates) {
        if (router.name !== this._options.routers.self.name) wanted.add(router)
        if (this._isUp(router)) break
      }
    }
    return [...wanted]
  }

  private _isUp (router: RouterEntry): boolean {
    return router.name === this._options.routers.self.name || !this._options.isDown(router)
  }

  private _record (service: string): ServiceRecord {
    const now = this._options.clock.now()
    let record = this._services.get(service)
    if (record === undefined || now >= record.until) {
      record = this._lookUp(service, now + CACHE_MS)
      this._services.set(service, record)
    }
    return record
  }

  private _lookUp (service: string, until: number): ServiceRecord {
    const { endpoints, isEnabled } = this._options
    if (!isEnabled()) return { until, usesGrants: false, candidates: [] }
    const order = this._currentOrder(until)
    const slots = endpoints.ready(service).reduce((sum, endpoint) => sum + endpoint.slots, 0)
    const usesGrants = slots > 0 && slots < order.size
    if (!usesGrants) return { until, usesGrants, candidates: [] }
    const key = hash.h64(service).toString(16).padStart(KEY_DIGITS, '0')
    return { until, usesGrants, candidates: order.first(key, MAXIMUM_CANDIDATES).map(({ entry }) => entry) }
  }

  /** Returns the order of the live routers, which is looked up once for many services, since each look-up passes over all routers. */
  private _currentOrder (until: number): SlotOwnershipOptions['routers']['order'] {
    if (this._order === undefined || this._options.clock.now() >= this._orderUntil) {
      this._order = this._options.routers.order
      this._orderUntil = until
    }
    return this._order
  }
}
