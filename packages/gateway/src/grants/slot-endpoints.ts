import { loadBound } from '../choice/load-bound.js'
import type { EndpointEntry } from '../model/endpoint-entry.js'
import { SlotGrants } from './slot-grants.js'
import type { SlotOwnerOptions } from './slot-owner-options.js'
import type { SlotRequest } from './slot-request.js'
import type { SlotTimes } from './slot-times.js'

/** Time for which a new owner goes by the load reports of the routers, in milliseconds; by then it has reports of the endpoints. */
const BEGIN_MS = 300
/** Slowdown from which an endpoint gets no requests above its slots: a fast endpoint frees a slot before it would begin them. */
const SLOW_FACTOR = 1.5
/** Time after which a reported slowdown is taken to be over, in milliseconds; it lasts some tenths of a second at a time. */
const SLOWDOWN_LIFETIME_MS = 500
/** Part of a slot by which preferred endpoints and less loaded ones are favored among equally fast ones. */
const LOAD_WEIGHT = 0.01

/** Endpoints of one service with the grants in use at each of them, from which the slot owner chooses one for each grant. */
export class SlotEndpoints {
  private readonly _service: string
  private readonly _options: SlotOwnerOptions
  private readonly _times: SlotTimes
  private readonly _endpoints = new Map<string, { readonly startedAt: number, readonly grants: SlotGrants }>()
  private _begunAt: number

  /**
   * @param service name of the service
   * @param options endpoints and what is known of them
   * @param times times of the grants of the service
   */
  constructor (service: string, options: SlotOwnerOptions, times: SlotTimes) {
    this._service = service
    this._options = options
    this._times = times
    this._begunAt = options.clock.now()
  }

  /** Whether the owner is so new that other routers' requests, which it has not granted, may still use slots. */
  get isBeginning (): boolean {
    return this._options.clock.now() - this._begunAt < BEGIN_MS
  }

  /** Begins to count anew: another router may have granted slots until now. */
  begin (): void {
    this._begunAt = this._options.clock.now()
    for (const [id, { grants }] of this._endpoints) if (grants.inUse === 0) this._endpoints.delete(id)
  }

  /**
   * Forgets an endpoint that is no longer registered.
   * @param endpointId id of the endpoint
   */
  remove (endpointId: string): void {
    this._endpoints.delete(endpointId)
  }

  /** Returns whether an endpoint has a free slot. */
  hasFreeSlot (): boolean {
    const { availableEndpoints, health } = this._options
    return health.preferHealthy(availableEndpoints(this._service)).some((endpoint) => this._isFree(endpoint))
  }

  /**
   * Returns whether there is an endpoint that a request may use, free or not.
   * @param request the request
   */
  canServe (request: SlotRequest): boolean {
    return this._options.availableEndpoints(this._service).some((endpoint) => isAllowed(endpoint, request))
  }

  /**
   * Returns the endpoint with the shortest expected time to completion, of those below the load bound if there are some; undefined if none that
   * the request may use has a free slot.
   * @param request the request
   */
  choose (request: SlotRequest): EndpointEntry | undefined {
    const { availableEndpoints, health } = this._options
    const available = availableEndpoints(this._service)
    const allowed = available.filter((endpoint) => isAllowed(endpoint, request))
    const free = health.preferHealthy(allowed).filter((endpoint) => this._isFree(endpoint))
    const bound = this._bound(available)
    const belowBound = free.filter((endpoint) => this.grantsOf(endpoint).load < bound)
    return this._quickest(belowBound.length > 0 ? belowBound : free, request)
  }

  private _bound (available: readonly EndpointEntry[]): number {
    const total = available.reduce((sum, endpoint) => sum + this.grantsOf(endpoint).load, 0)
    return loadBound(total / Math.max(1, available.length), this._options.loadBoundFactor())
  }

  private _quickest (endpoints: readonly EndpointEntry[], request: SlotRequest): EndpointEntry | undefined {
    let best: EndpointEntry | undefined
    let lowestCost = Infinity
    for (const endpoint of endpoints) {
      const cost = this._cost(endpoint, request)
      if (cost >= lowestCost) continue
      best = endpoint
      lowestCost = cost
    }
    return best
  }

  /**
   * Returns the grants of an incarnation of an endpoint.
   * @param endpoint entry of the endpoint
   */
  grantsOf ({ id, startedAt }: EndpointEntry): SlotGrants {
    const known = this._endpoints.get(id)
    if (known?.startedAt === startedAt) return known.grants
    const { clock, fleetLoad } = this._options
    const beginsFor = this._begunAt + BEGIN_MS - clock.now()
    const grants = new SlotGrants(clock, beginsFor > 0 ? fleetLoad(id) : 0, Math.max(0, beginsFor))
    this._endpoints.set(id, { startedAt, grants })
    return grants
  }

  /**
   * Returns the expected time to completion at an endpoint, in mean service times. While the endpoint has a free slot, its load does not
   * matter for that time, and is used only to choose among equally fast endpoints.
   */
  private _cost (endpoint: EndpointEntry, { preferred }: SlotRequest): number {
    const loadBySlots = (this.grantsOf(endpoint).load + 1) / endpoint.slots
    const isPreferred = preferred !== undefined && loadBySlots <= 1 && preferred.includes(endpoint.id)
    if (isPreferred) return loadBySlots * LOAD_WEIGHT
    return Math.max(1, loadBySlots) * this._slowdown(endpoint) + loadBySlots * LOAD_WEIGHT
  }

  private _isFree (endpoint: EndpointEntry): boolean {
    const isSlow = this._slowdown(endpoint) >= SLOW_FACTOR
    const pipeline = isSlow || this.isBeginning ? 0 : this._times.pipelineAllowance(endpoint.slots)
    return this.grantsOf(endpoint).load + 1 <= endpoint.slots + pipeline
  }

  private _slowdown (endpoint: EndpointEntry): number {
    const { reportedLoads } = this._options
    const slowdown = reportedLoads.last(endpoint)?.slowdown
    if (slowdown === undefined) return 1
    // Without this, an endpoint that gets no requests because it was slow would never be known to be fast again.
    return 1 + (slowdown - 1) * Math.max(0, 1 - reportedLoads.ageMs(endpoint) / SLOWDOWN_LIFETIME_MS)
  }
}

function isAllowed ({ id, availabilityZone }: EndpointEntry, { excluded, zones }: SlotRequest): boolean {
  return !excluded.includes(id) && zones?.includes(availabilityZone) !== false
}
