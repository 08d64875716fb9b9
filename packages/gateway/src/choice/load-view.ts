import type { LoadByEndpoint } from './load-by-endpoint.js'
import type { LoadReport } from './load-report.js'

/** Last load report of another router. */
interface ReceivedReport {
  readonly load: LoadByEndpoint
  readonly reportedAt: number
}

/** Loads of other routers that the followed router has summed up. */
interface FleetLoad {
  readonly load: LoadByEndpoint
  /** Number of routers in the sum; undefined if it is not known. */
  readonly routers: number | undefined
  readonly receivedAt: number
}

/** Time for which a load report is valid, in milliseconds; a router that makes none for this time is assumed to have stopped. */
const REPORT_LIFETIME_MS = 1_500

/**
 * Requests in flight at each endpoint: the exact count of this router, the last report of each router that is known by name, and a sum over the others.
 *
 * A report has the name of its router and its age on every way that it takes, so that it is counted once and for a limited time. The sum that the followed router
 * sends has no names. It may include routers that have reported to this one, too, while routers change the one that they follow, so it counts in
 * proportion to the routers that are left: two routers that follow each other cannot raise it.
 */
export class LoadView {
  private readonly _local = new Map<string, number>()
  private readonly _reports = new Map<string, ReceivedReport>()
  private readonly _now: () => number
  private readonly _fleetSize: () => number
  /** Sums of the reports, by endpoint. */
  private readonly _reported = new Map<string, number>()
  private _fleet: FleetLoad | undefined
  /** Part of the followed router's sum that counts, from 0 to 1. */
  private _fleetFraction = 0
  /** Lower bound of the time at which the next report expires. */
  private _nextExpiry = Infinity
  private _reportCount = 0
  private _reportListener: () => void = () => undefined

  /**
   * @param now returns the time of a monotonic clock, in milliseconds
   * @param fleetSize returns the number of live routers, this one included
   */
  constructor (now: () => number, fleetSize: () => number = () => Infinity) {
    this._now = now
    this._fleetSize = fleetSize
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

  /** Number of other routers whose requests are counted. */
  get countedRouters (): number {
    return this._reports.size + Math.round(this._fleetFraction * (this._fleet?.routers ?? 0))
  }

  /** Part of the sum of the followed router that counts, from 0 to 1. Below 1, routers in it are known by reports of their own. */
  get fleetFraction (): number {
    return this._fleetFraction
  }

  /**
   * Returns the number of requests that this router has in flight at an endpoint.
   * @param endpointId id of the endpoint
   */
  localLoad (endpointId: string): number {
    return this._local.get(endpointId) ?? 0
  }

  /**
   * Returns the number of requests that the whole fleet has in flight at an endpoint, by the latest reports. It is a fraction while the sum of the followed
   * router counts in part.
   * @param endpointId id of the endpoint
   */
  total (endpointId: string): number {
    const others = (this._fleet?.load[endpointId] ?? 0) * this._fleetFraction
    return this.localLoad(endpointId) + (this._reported.get(endpointId) ?? 0) + others
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

  /** Returns the reports of other routers, to be passed on with their age. */
  relayedReports (): readonly LoadReport[] {
    const now = this._now()
    this._removeExpired(now)
    return [...this._reports].map(([router, { load, reportedAt }]) => ({ router, ageMs: Math.ceil(now - reportedAt), load }))
  }

  /**
   * Records a load report that another router has just made; it replaces the one before.
   * @param router name of the router
   * @param load requests that it has in flight
   */
  report (router: string, load: LoadByEndpoint): void {
    this.reportAll([{ router, ageMs: 0, load }])
  }

  /**
   * Records load reports of other routers, some of which may have been relayed. One that has expired, or is older than the one that is known of its router, is
   * ignored.
   * @param reports the reports
   */
  reportAll (reports: readonly LoadReport[]): void {
    const now = this._now()
    this._removeExpired(now)
    for (const report of reports) this._replace(report, now)
    this._recordReport()
  }

  /**
   * Records the loads of other routers that the followed router has summed up; they replace those that it sent before.
   * @param load requests in flight
   * @param routers number of routers in the sum; undefined if it is not known, and all of it counts
   */
  reportFleet (load: LoadByEndpoint, routers: number | undefined): void {
    const now = this._now()
    this._removeExpired(now)
    this._fleet = { load, routers, receivedAt: now }
    this._nextExpiry = Math.min(this._nextExpiry, now + REPORT_LIFETIME_MS)
    this._recordReport()
  }

  /**
   * Returns the last load report of a router; empty if there is none. Expired reports are removed when the next report of any
   * router arrives.
   * @param router name of the router
   */
  lastReportOf (router: string): LoadByEndpoint {
    return this._reports.get(router)?.load ?? {}
  }

  /** Returns a copy of the last load reports, by router name. */
  lastReports (): ReadonlyMap<string, LoadByEndpoint> {
    return new Map([...this._reports].map(([router, { load }]) => [router, load]))
  }

  private _replace ({ router, ageMs, load }: LoadReport, now: number): void {
    const reportedAt = now - ageMs
    if (ageMs >= REPORT_LIFETIME_MS || reportedAt < (this._reports.get(router)?.reportedAt ?? -Infinity)) return
    this._add(this.lastReportOf(router), -1)
    this._reports.set(router, { load, reportedAt })
    this._add(load, 1)
    this._nextExpiry = Math.min(this._nextExpiry, reportedAt + REPORT_LIFETIME_MS)
  }

  private _recordReport (): void {
    this._fleetFraction = this._computeFleetFraction()
    this._reportCount += 1
    this._reportListener()
  }

  private _computeFleetFraction (): number {
    if (this._fleet === undefined) return 0
    const { routers } = this._fleet
    if (routers === undefined) return 1
    const remaining = Math.max(0, this._fleetSize() - 1 - this._reports.size)
    return Math.min(1, remaining / Math.max(1, routers))
  }

  private _add (load: LoadByEndpoint, sign: number): void {
    for (const [endpoint, count] of Object.entries(load)) {
      const sum = (this._reported.get(endpoint) ?? 0) + sign * count
      if (sum > 0) this._reported.set(endpoint, sum)
      else this._reported.delete(endpoint)
    }
  }

  private _removeExpired (now: number): void {
    if (now < this._nextExpiry) return
    const oldest = now - REPORT_LIFETIME_MS
    if (this._fleet !== undefined && this._fleet.receivedAt <= oldest) this._fleet = undefined
    this._nextExpiry = (this._fleet?.receivedAt ?? Infinity) + REPORT_LIFETIME_MS
    for (const [router, { load, reportedAt }] of this._reports) {
      if (reportedAt <= oldest) {
        this._reports.delete(router)
        this._add(load, -1)
      } else this._nextExpiry = Math.min(this._nextExpiry, reportedAt + REPORT_LIFETIME_MS)
    }
    this._fleetFraction = this._computeFleetFraction()
  }
}
