import { DecayingCounter } from '../admission/decaying-counter.js'
import type { EndpointEntry } from '../model/endpoint-entry.js'
import type { EndpointPermits } from './endpoint-permits.js'
import type { FleetPermitsOptions } from './fleet-permits-options.js'
import { HeldPermits } from './held-permits.js'
import { PermitIssuer } from './permit-issuer.js'
import type { PermitRequest } from './permit-request.js'
import type { PermitSource } from './permit-source.js'
import type { RequestQueues } from './request-queues.js'
import type { ServiceDemand } from './service-demand.js'

/** Time for whose requests a router gets permits in advance, in seconds: two intervals in which routers sync. */
const ADVANCE_S = 0.5
const MS_PER_SECOND = 1_000

/** What this router knows of the permits for one service. */
interface ServiceRecord {
  readonly requests: DecayingCounter
  readonly received: DecayingCounter
  /** Whether it got fewer permits than it wanted the last time. */
  isScarce: boolean
}

/**
 * Rate limits of endpoints, kept by all routers together. A request to an endpoint that states a limit needs a permit; one router, which
 * the others follow, issues as many as the limit allows. Permits that are not used expire.
 */
export class FleetPermits {
  private readonly _options: FleetPermitsOptions
  private readonly _held: HeldPermits
  private readonly _issuer: PermitIssuer
  private readonly _services = new Map<string, ServiceRecord>()
  private _queues: RequestQueues | undefined
  private _source: PermitSource | undefined
  /** Whether the followed router issues permits. */
  private _hasIssuer = true

  /**
   * @param options limits, endpoints and members of the fleet
   */
  constructor (options: FleetPermitsOptions) {
    this._options = options
    this._held = new HeldPermits(options.clock)
    this._issuer = new PermitIssuer({ ...options, isFollowing: () => this._isFollowing })
  }

  /**
   * Sets the queues for which permits are wanted.
   * @param queues queues of the requests of this router
   */
  setQueues (queues: RequestQueues): void {
    this._queues = queues
  }

  /**
   * Sets where this router gets permits. Without a source it issues them by itself.
   * @param source the connection to the followed router
   */
  setSource (source: PermitSource): void {
    this._source = source
  }

  /** Whether an endpoint of any service has a limit. */
  get isNeeded (): boolean {
    return !this._options.limits.isEmpty
  }

  /**
   * Returns whether an endpoint has a limit.
   * @param endpoint the endpoint
   */
  isLimited (endpoint: EndpointEntry): boolean {
    return this._options.limits.limitOf(endpoint) !== undefined
  }

  /**
   * Returns whether a request may be sent to an endpoint now.
   * @param endpoint the endpoint
   */
  allows (endpoint: EndpointEntry): boolean {
    return this.heldFor(endpoint) !== 0
  }

  /**
   * Returns the endpoints without a rate limit, or all of them if each has one.
   * @param endpoints the endpoints
   */
  preferUnlimited (endpoints: readonly EndpointEntry[]): readonly EndpointEntry[] {
    const { limits } = this._options
    if (limits.isEmpty) return endpoints
    const unlimited = endpoints.filter((endpoint) => !this.isLimited(endpoint))
    return unlimited.length > 0 ? unlimited : endpoints
  }

  /**
   * Returns the number of permits that this router holds for an endpoint with a rate limit; undefined for one without.
   * @param endpoint the endpoint
   */
  heldFor (endpoint: EndpointEntry): number | undefined {
    return this.isLimited(endpoint) ? this._held.count(endpoint.id) : undefined
  }

  /**
   * Returns the time between two requests that this router may send to some endpoints of a service, in milliseconds; undefined while rate
   * limits hold up none: an endpoint has no limit, or this router gets all permits that it wants.
   * @param service name of the service
   * @param endpoints endpoints that can take requests
   */
  intervalMs (service: string, endpoints: readonly EndpointEntry[]): number | undefined {
    const { limits } = this._options
    if (limits.isEmpty || endpoints.some((endpoint) => !this.isLimited(endpoint))) return undefined
    const record = this._record(service)
    if (!record.isScarce) return undefined
    return MS_PER_SECOND / Math.max(record.received.perSecond, this._equalShare(service))
  }

  /**
   * Counts a request that arrives for a service.
   * @param service name of the service
   */
  countRequest (service: string): void {
    this._record(service).requests.increment()
  }

  /**
   * Uses a permit for a request that is about to be sent. Without effect if the endpoint has no limit.
   * @param endpoint the endpoint
   */
  take (endpoint: EndpointEntry): void {
    if (this.isLimited(endpoint)) this._held.take(endpoint.id)
  }

  /** Gets permits for requests that wait: at once if this router issues them itself, otherwise soon from the router that it follows. */
  getForWaiting (): void {
    if (this._options.limits.isEmpty) return
    if (this._isFollowing) this._source?.askSoon()
    else this.refill()
  }

  /** Records what this router wants now, for the next request to the router that it follows. */
  recordDemand (): void {
    this._issuer.recordDemand(this._options.router, { demands: this._demands(), routers: 1 })
  }

  /** Takes the permits that this router wants from what it can issue. To be called regularly, and when permits have been deposited. */
  refill (): void {
    const { limits } = this._options
    limits.removeExpired()
    if (limits.isEmpty) return
    const demands = this._demands()
    const permits = this._issuer.issue(this._options.router, { demands, routers: 1 })
    for (const { endpointId, count } of permits) this._held.add(endpointId, count)
    for (const demand of demands) this._recordReceived(demand, permits)
    const received = permits.reduce((sum, { count }) => sum + count, 0)
    if (received > 0) this._queues?.permitsArrived(received)
    if (demands.some(({ service }) => this._isWaiting(service))) this._source?.askSoon()
  }

  /** What this router and its followers want from the router that it follows; undefined while no endpoint has a limit. */
  get wanted (): PermitRequest | undefined {
    return this._options.limits.isEmpty ? undefined : this._issuer.demand()
  }

  /**
   * Issues permits to a router that follows this one.
   * @param router name of the router
   * @param request what it wants
   */
  issue (router: string, request: PermitRequest): readonly EndpointPermits[] {
    return this._issuer.issue(router, request)
  }

  /**
   * Adds permits that the followed router has issued.
   * @param permits number of permits by endpoint; undefined if that router is of an earlier version, which issues none
   */
  deposit (permits: readonly EndpointPermits[] | undefined): void {
    this._hasIssuer = permits !== undefined
    this._issuer.deposit(permits ?? [])
    this.refill()
  }

  /**
   * Forgets the permits for an endpoint that is gone.
   * @param endpointId id of the endpoint
   */
  remove (endpointId: string): void {
    this._issuer.remove(endpointId)
    this._held.remove(endpointId)
  }

  private get _isFollowing (): boolean {
    return this._hasIssuer && this._source?.isFollowing() === true
  }

  private _demands (): readonly ServiceDemand[] {
    return this._limitedServices().map((service) => {
      const advance = Math.round(this._record(service).requests.perSecond * ADVANCE_S)
      const count = (this._queues?.queued(service) ?? 0) + advance - this._heldForService(service)
      return { service, count: Math.max(0, count) }
    })
  }

  private _limitedServices (): readonly string[] {
    const { endpoints, limits } = this._options
    const services = limits.limitedIds.map((id) => endpoints.find(id)?.service)
    return [...new Set(services)].filter((service) => service !== undefined)
  }

  private _heldForService (service: string): number {
    return this._options.endpoints.ready(service).reduce((sum, endpoint) => sum + (this.heldFor(endpoint) ?? 0), 0)
  }

  private _recordReceived ({ service, count }: ServiceDemand, permits: readonly EndpointPermits[]): void {
    const record = this._record(service)
    const received = permits.reduce((sum, { endpointId, count }) => {
      return this._options.endpoints.find(endpointId)?.service === service ? sum + count : sum
    }, 0)
    record.received.add(received)
    record.isScarce = received < count
  }

  private _isWaiting (service: string): boolean {
    return (this._queues?.queued(service) ?? 0) > 0
  }

  /** Returns this router's equal share of what the endpoints of a service take, in requests a second. */
  private _equalShare (service: string): number {
    const { endpoints, limits, routerCount } = this._options
    const total = endpoints.ready(service).reduce((sum, endpoint) => sum + (limits.limitOf(endpoint) ?? 0), 0)
    return total / Math.max(1, routerCount())
  }

  private _record (service: string): ServiceRecord {
    let record = this._services.get(service)
    if (record === undefined) {
      const { clock } = this._options
      record = { requests: new DecayingCounter(clock), received: new DecayingCounter(clock), isScarce: false }
      this._services.set(service, record)
    }
    return record
  }
}
