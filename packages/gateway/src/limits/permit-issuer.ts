import type { EndpointPermits } from './endpoint-permits.js'
import type { PermitIssuerOptions } from './permit-issuer-options.js'
import { PermitPool } from './permit-pool.js'
import type { PermitRequest } from './permit-request.js'
import type { ServiceDemand } from './service-demand.js'

/** Time for which the demand of a router counts, in milliseconds; one that does not ask again for this time has stopped. */
const DEMAND_LIFETIME_MS = 1_500
/** Multiple of its proportional share that a router may get at once. Shares are taken one after the other of what is left. */
const SHARE_MULTIPLE = 2

/** Demand of one router, and of those that follow it. */
interface RouterDemand extends PermitRequest {
  readonly expiresAt: number
}

/** Permits for one endpoint. */
interface EndpointPool {
  readonly endpointId: string
  readonly pool: PermitPool
}

/**
 * Issues permits for endpoints with a rate limit to this router and to those that follow it. A router that follows none issues as many as
 * the limits allow, in proportion to the routers that ask it: the rest belongs to those that have lost touch and do the same. A router
 * that follows another one passes on what it gets there. So the sum over all routers stays within the limit.
 *
 * What routers want is satisfied in full while there is enough, and in proportion otherwise. Fractions are rounded at random, since
 * with many routers a fair share is often less than one request.
 */
export class PermitIssuer {
  private readonly _options: PermitIssuerOptions
  private readonly _pools = new Map<string, PermitPool>()
  private readonly _demands = new Map<string, RouterDemand>()

  /**
   * @param options limits, endpoints and members of the fleet
   */
  constructor (options: PermitIssuerOptions) {
    this._options = options
  }

  /**
   * Issues permits to a router.
   * @param router name of the router
   * @param request what it wants; replaces what it wanted before
   * @returns at most what it wants
   */
  issue (router: string, request: PermitRequest): readonly EndpointPermits[] {
    this.recordDemand(router, request)
    return request.demands.flatMap((demand) => this._issueFor(demand))
  }

  /**
   * Records what a router wants without issuing anything.
   * @param router name of the router
   * @param request what it wants; replaces what it wanted before
   */
  recordDemand (router: string, request: PermitRequest): void {
    this._demands.set(router, { ...request, expiresAt: this._options.clock.now() + DEMAND_LIFETIME_MS })
  }

  /**
   * Adds permits that the followed router has issued.
   * @param permits number of permits by endpoint
   */
  deposit (permits: readonly EndpointPermits[]): void {
    for (const { endpointId, count } of permits) this._pool(endpointId).deposit(count)
  }

  /** Returns what all routers want that have asked this one, less what it still can issue. */
  demand (): PermitRequest {
    const services = new Set(this._live().flatMap(({ demands }) => demands.map(({ service }) => service)))
    const demands = [...services].map((service) => {
      const available = sumOf(this._poolsOf(service).map(({ pool }) => pool.available))
      return { service, count: Math.max(0, this._wantedOf(service) - available) }
    })
    return { demands: demands.filter(({ count }) => count > 0), routers: this._askingRouters }
  }

  /**
   * Forgets the permits for an endpoint that is gone.
   * @param endpointId id of the endpoint
   */
  remove (endpointId: string): void {
    this._pools.delete(endpointId)
  }

  private _issueFor ({ service, count: wanted }: ServiceDemand): readonly EndpointPermits[] {
    const pools = this._poolsOf(service)
    const available = sumOf(pools.map(({ pool }) => pool.available))
    const total = this._wantedOf(service)
    const share = total <= available ? wanted : available * SHARE_MULTIPLE * wanted / total
    const count = Math.min(wanted, available, Math.floor(share + this._options.random()))
    const issued = new Map<string, number>()
    for (let number = 0; number < count; number += 1) {
      const { endpointId, pool } = this._pick(pools)
      pool.take()
      issued.set(endpointId, (issued.get(endpointId) ?? 0) + 1)
    }
    return [...issued].map(([endpointId, issuedCount]) => ({ endpointId, count: issuedCount }))
  }

  /** Picks a pool at random, in proportion to what the pools can issue. */
  private _pick (pools: readonly EndpointPool[]): EndpointPool {
    let position = this._options.random() * sumOf(pools.map(({ pool }) => pool.available))
    const picked = pools.find(({ pool }) => {
      position -= pool.available
      return position < 0
    })
    return picked as EndpointPool
  }

  /** Returns the pools of the endpoints of a service that have a limit, up to date. */
  private _poolsOf (service: string): readonly EndpointPool[] {
    const { endpoints, limits, isFollowing, routerCount } = this._options
    const isIssuing = !isFollowing()
    const fraction = isIssuing ? Math.min(1, this._askingRouters / Math.max(1, routerCount())) : 0
    return endpoints.ready(service).flatMap((endpoint) => {
      const permitsPerSecond = limits.permitRateOf(endpoint)
      if (permitsPerSecond === undefined) return []
      const pool = this._pool(endpoint.id)
      if (isIssuing) pool.accrue(permitsPerSecond * fraction)
      else pool.stopAccruing()
      return [{ endpointId: endpoint.id, pool }]
    })
  }

  private _pool (endpointId: string): PermitPool {
    let pool = this._pools.get(endpointId)
    if (pool === undefined) {
      pool = new PermitPool(this._options.clock, this._options.random)
      this._pools.set(endpointId, pool)
    }
    return pool
  }

  private _wantedOf (service: string): number {
    return sumOf(this._live().flatMap(({ demands }) => demands.filter((demand) => demand.service === service).map(({ count }) => count)))
  }

  private get _askingRouters (): number {
    return sumOf(this._live().map(({ routers }) => routers))
  }

  private _live (): readonly RouterDemand[] {
    const now = this._options.clock.now()
    for (const [router, { expiresAt }] of this._demands) if (expiresAt <= now) this._demands.delete(router)
    return [...this._demands.values()]
  }
}

function sumOf (numbers: readonly number[]): number {
  return numbers.reduce((sum, number) => sum + number, 0)
}
