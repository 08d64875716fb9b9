import type { LoadByEndpoint } from './load-by-endpoint.js'

/** Last load report of another router. */
interface RemoteLoad {
  readonly load: LoadByEndpoint
  readonly expiresAt: number
}

/** Time for which a load report is valid, in milliseconds; a router that sends none for this time is assumed to have stopped. */
const REPORT_LIFETIME_MS = 1_500

/** Requests in flight at each endpoint: the exact count of this router plus the last load report of each other router. */
export class LoadView {
  private readonly _local = new Map<string, number>()
  private readonly _remote = new Map<string, RemoteLoad>()
  private readonly _now: () => number
  private readonly _remoteTotals = new Map<string, number>()
  /** Lower bound of the time at which the next report expires. */
  private _nextExpiry = Infinity
  private _reportCount = 0
  private _reportListener: () => void = () => undefined

  /**
   * @param now returns the time of a monotonic clock, in milliseconds
   */
  constructor (now: () => number) {
    this._now = now
  }

  /**
   * Sets the listener that is called after each report; it replaces the previous one.
   * @param onReport listener; it is called without arguments
   */
  onReport (onReport: () => void): void {
    this._reportListener = onReport
  }

  /** Number of reports received; a change means that the load of other routers may have changed. */
  get reportCount (): number {
    return this._reportCount
  }

  /**
   * Returns the number of requests that this router has in flight at an endpoint.
   * @param endpointId id of the endpoint
   */
  localLoad (endpointId: string): number {
    return this._local.get(endpointId) ?? 0
  }

  /**
   * Returns the number of requests that the whole fleet has in flight at an endpoint, by the latest reports.
   * @param endpointId id of the endpoint
   */
  total (endpointId: string): number {
    return this.localLoad(endpointId) + (this._remoteTotals.get(endpointId) ?? 0)
  }

  /**
   * Counts the start of a request to an endpoint.
   * @param endpointId id of the endpoint
   */
  begin (endpointId: string): void {
    this._local.set(endpointId, this.localLoad(endpointId) + 1)
  }

  /**
   * Counts the end of a request to an endpoint.
   * @param endpointId id of the endpoint
   */
  end (endpointId: string): void {
    const remaining = this.localLoad(endpointId) - 1
    if (remaining > 0) this._local.set(endpointId, remaining)
    else this._local.delete(endpointId)
  }

  /** Returns the requests that this router has in flight, by endpoint. */
  localLoads (): Record<string, number> {
    return Object.fromEntries(this._local)
  }

  /**
   * Returns the requests that this router and some other routers have in flight, by endpoint.
   * @param routers names of the other routers
   */
  localLoadsWith (routers: readonly string[]): Record<string, number> {
    const load = this.localLoads()
    for (const router of routers) {
      for (const [endpoint, count] of Object.entries(this.lastReportOf(router))) load[endpoint] = (load[endpoint] ?? 0) + count
    }
    return load
  }

  /**
   * Replaces the load report of another router.
   * @param router name of the router
   * @param load requests that it has in flight
   */
  report (router: string, load: LoadByEndpoint): void {
    const now = this._now()
    const expiresAt = now + REPORT_LIFETIME_MS
    this._removeExpired(now)
    this._add(this.lastReportOf(router), -1)
    this._remote.set(router, { load, expiresAt })
    this._add(load, 1)
    this._nextExpiry = Math.min(this._nextExpiry, expiresAt)
    this._reportCount += 1
    this._reportListener()
  }

  /**
   * Returns the last load report of a router; empty if there is none. Expired reports are removed when the next report of any
   * router arrives.
   * @param router name of the router
   */
  lastReportOf (router: string): LoadByEndpoint {
    return this._remote.get(router)?.load ?? {}
  }

  /** Returns a copy of the last load reports, by router name. */
  lastReports (): ReadonlyMap<string, LoadByEndpoint> {
    return new Map([...this._remote].map(([router, { load }]) => [router, load]))
  }

  private _add (load: LoadByEndpoint, sign: number): void {
    for (const [endpoint, count] of Object.entries(load)) {
      const sum = (this._remoteTotals.get(endpoint) ?? 0) + sign * count
      if (sum > 0) this._remoteTotals.set(endpoint, sum)
      else this._remoteTotals.delete(endpoint)
    }
  }

  private _removeExpired (now: number): void {
    if (now < this._nextExpiry) return
    this._nextExpiry = Infinity
    for (const [router, { load, expiresAt }] of this._remote) {
      if (expiresAt <= now) {
        this._remote.delete(router)
        this._add(load, -1)
      } else this._nextExpiry = Math.min(this._nextExpiry, expiresAt)
    }
  }
}
