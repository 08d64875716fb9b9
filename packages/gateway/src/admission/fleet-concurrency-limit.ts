import type { FleetPermits } from '../limits/fleet-permits.js'
import type { Homes } from '../homes/homes.js'
import type { EndpointEntry } from '../model/endpoint-entry.js'
import { excessLoad } from './excess-load.js'
import { LoadForecast } from './load-forecast.js'
import type { FleetConcurrencyLimitOptions } from './fleet-concurrency-limit-options.js'

/** Time for which requests may queue at an endpoint, whose slots are then in use without a pause. */
const ENDPOINT_QUEUE_MS = 50
/** Multiple of its equal share that a router may take of an idle service in addition to that share; a surge reaches few routers at the same time. */
const BURST_MULTIPLE = 4
/** Minimum limit of each router while the service has spare capacity, since callers send a few requests at a time. */
const MINIMUM_BELOW_CAPACITY = 3
/**
 * Multiple of its equal share that each router may always use if that share is below `MINIMUM_BELOW_CAPACITY`; the excess
 * queues at the endpoints.
 */
const SMALL_SHARE_MULTIPLE = 2

/** Requests that share a limit: those of a service, or those of a service with the same home regions. */
interface LimitedRequests {
  readonly service: string
  readonly homes: Homes | undefined
  /** Identifies them. */
  readonly key: string
}

/** State of a service at the time of the last load report. */
interface ReportSnapshot {
  readonly reportCount: number
  /** Requests of this router in flight. */
  readonly local: number
  /** Requests of all other routers in flight, by the forecast. */
  readonly remote: number
  /** Random number that decides whether the fractional part of the limit is rounded up. */
  readonly roundingOffset: number
}

/**
 * Concurrency limit of this router for each service. The sum over the fleet stays close to the slots of the service,
 * although each router learns the load of the other routers with a delay.
 *
 * The load of the others is forecast, since many short requests come and go between two reports.
 *
 * In addition to its own requests at the last load report, a router may take an equal share of the capacity that was
 * spare then, or several times that share while much of it is spare. The limit is never below an equal share of the
 * whole service, or twice that share if it is only a few requests. Fractions are rounded at random, with a new random
 * number for each load report.
 *
 * Where requests have home regions, what is in flight in a full region beyond its capacity does not count while other regions have room.
 *
 * Endpoints with a rate limit do not count as capacity: permits decide what they get.
 */
export class FleetConcurrencyLimit {
  private readonly _options: FleetConcurrencyLimitOptions
  private readonly _snapshots = new Map<string, ReportSnapshot>()
  private readonly _forecasts = new Map<string, LoadForecast>()

  /**
   * @param options sources of the loads, the fleet size and the endpoints from which the limits are computed
   */
  constructor (options: FleetConcurrencyLimitOptions) {
    this._options = options
  }

  /**
   * Returns the number of requests that this router may have in flight. Without known endpoints the limit is infinite,
   * since there is none that could be overloaded.
   * @param service name of the service
   * @param homes regions in which alone the requests may run; undefined if they may run everywhere
   */
  limit (service: string, homes?: Homes): number {
    const available = this._options.availableEndpoints(service, homes)
    if (available.length === 0) return Infinity
    const { permits } = this._options
    const requests = { service, homes, key: homes === undefined ? service : `${service} ${homes.key}` }
    if (permits === undefined || !permits.isNeeded) return this._concurrencyLimit(requests, available)
    const unlimited = available.filter((endpoint) => permits.heldFor(endpoint) === undefined)
    return this._limitAtRateLimited(available, permits) + this._concurrencyLimit(requests, unlimited)
  }

  /** Returns how many requests may be in flight at the endpoints with a rate limit: those that are, and as many as there are permits. */
  private _limitAtRateLimited (endpoints: readonly EndpointEntry[], permits: Pick<FleetPermits, 'heldFor'>): number {
    return endpoints.reduce((sum, endpoint) => {
      const held = permits.heldFor(endpoint)
      return held === undefined ? sum : sum + this._options.loads.localLoad(endpoint.id) + held
    }, 0)
  }

  private _concurrencyLimit (requests: LimitedRequests, endpoints: readonly EndpointEntry[]): number {
    if (endpoints.length === 0) return 0
    const routers = Math.max(1, this._options.routerCount())
    const serviceMs = this._options.serviceMs(requests.service, requests.homes)
    const capacityOf = ({ slots }: EndpointEntry): number => slots + queuedRequests(slots, serviceMs)
    const capacity = endpoints.reduce((sum, endpoint) => sum + capacityOf(endpoint), 0)
    const { local, remote, roundingOffset } = this._snapshot(requests, endpoints, capacityOf)
    const total = local + remote
    const spareShare = shareOfSpareCapacity(capacity - total, capacity, routers, local / Math.max(1, total))
    const minimum = total < capacity ? MINIMUM_BELOW_CAPACITY : 0
    return Math.max(minimum, Math.floor(guaranteedShare(capacity / routers) + roundingOffset), Math.floor(local + spareShare + roundingOffset))
  }

  private _snapshot (requests: LimitedRequests, endpoints: readonly EndpointEntry[], capacityOf: (endpoint: EndpointEntry) => number): ReportSnapshot {
    const { loads } = this._options
    const cached = this._snapshots.get(requests.key)
    if (cached?.reportCount === loads.reportCount) return cached
    const local = sumOf(endpoints, (id) => loads.localLoad(id))
    const total = sumOf(endpoints, (id) => loads.total(id)) - this._excess(endpoints, capacityOf)
    const remote = this._forecastRemote(requests, Math.max(0, total - local))
    const snapshot = { reportCount: loads.reportCount, local, remote, roundingOffset: this._options.random() }
    this._snapshots.set(requests.key, snapshot)
    return snapshot
  }

  /** Returns the requests in flight that use no capacity, since they must stay in regions that are full. */
  private _excess (endpoints: readonly EndpointEntry[], capacityOf: (endpoint: EndpointEntry) => number): number {
    const { loads, hasHomes, regionOf } = this._options
    if (regionOf === undefined || hasHomes?.() !== true) return 0
    return excessLoad(endpoints, regionOf, capacityOf, ({ id }) => loads.total(id))
  }

  private _forecastRemote ({ service, homes, key }: LimitedRequests, reported: number): number {
    let forecast = this._forecasts.get(key)
    if (forecast === undefined) {
      forecast = new LoadForecast()
      this._forecasts.set(key, forecast)
    }
    forecast.record(reported, this._options.now())
    return forecast.requests(this._options.serviceMs(service, homes))
  }
}

// Returns how many requests may queue at an endpoint beyond its slots: at least one, and of short requests as many as it
// takes from its queue within a time that callers hardly notice.
function queuedRequests (slots: number, serviceMs: number | undefined): number {
  if (serviceMs === undefined) return 1
  return Math.max(1, Math.min(slots, Math.floor(slots * ENDPOINT_QUEUE_MS / Math.max(1, serviceMs))))
}

// Returns this router's share of the spare capacity. If the service is over capacity, the result is negative: the part
// of the excess that this router must release, in proportion to its requests in flight.
function shareOfSpareCapacity (spare: number, capacity: number, routers: number, localFraction: number): number {
  if (spare <= 0) return spare * localFraction
  return spare * Math.min(1, (1 + BURST_MULTIPLE * spare / capacity) / routers)
}

// Returns what a router may use even if the service is full. In a fleet with more routers than slots an equal share is
// less than one request; twice that share keeps the service busy although most routers have none in flight.
function guaranteedShare (equalShare: number): number {
  return equalShare >= MINIMUM_BELOW_CAPACITY ? Math.floor(equalShare) : equalShare * SMALL_SHARE_MULTIPLE
}

function sumOf (endpoints: readonly EndpointEntry[], count: (id: string) => number): number {
  return endpoints.reduce((sum, endpoint) => sum + count(endpoint.id), 0)
}
