import type { EndpointEntry } from '../model/endpoint-entry.js'
import { AnswerCounts } from './answer-counts.js'
import type { AnswerReport } from './answer-report.js'
import { AnswerSums } from './answer-sums.js'
import type { EjectionNote } from './ejection-note.js'
import { Ejections } from './ejections.js'
import type { FleetOutliersOptions } from './fleet-outliers-options.js'
import { OutlierDetector } from './outlier-detector.js'

/** Maximum number of endpoints in a report, which bounds its length whatever the number of endpoints. */
const MAXIMUM_REPORTED_ENDPOINTS = 64
/** Time for which a report is valid; a router that sends none for this time is assumed to have stopped. */
const REPORT_LIFETIME_MS = 1_500
/** Minimum interval between two decisions; reports arrive at this interval. */
const DECISION_INTERVAL_MS = 250
/** Fraction of its share of requests that an endpoint on trial gets. */
const TRIAL_FRACTION = 0.1

/** Last report of another router. */
interface RemoteReport {
  readonly report: AnswerReport
  readonly expiresAt: number
}

/**
 * Endpoints that fail requests although they pass health checks, as one router knows them. Each router counts answers and reports them to the
 * router that it follows. The router that follows no other sums the reports and decides which endpoints are ejected.
 */
export class FleetOutliers {
  private readonly _options: FleetOutliersOptions
  private readonly _counts: AnswerCounts
  private readonly _ejections: Ejections
  private readonly _detector: OutlierDetector
  private readonly _reports = new Map<string, RemoteReport>()
  private _isEnabled: () => boolean = () => true
  private _isFollowing: () => boolean = () => false
  private _nextDecisionAt = -Infinity

  /**
   * @param options endpoints, clock, log and random numbers
   */
  constructor (options: FleetOutliersOptions) {
    const { endpoints, clock, log } = options
    this._options = options
    this._counts = new AnswerCounts(clock)
    this._ejections = new Ejections(endpoints, clock, log)
    this._detector = new OutlierDetector({ endpoints, ejections: this._ejections }, clock)
  }

  /**
   * Sets whether endpoints are ejected.
   * @param isEnabled returns whether they are; without it, they are
   */
  enableWhile (isEnabled: () => boolean): void {
    this._isEnabled = isEnabled
  }

  /**
   * Sets whether this router follows another one, which decides in its place.
   * @param isFollowing returns whether it does; without it, this router decides
   */
  followWhile (isFollowing: () => boolean): void {
    this._isFollowing = isFollowing
  }

  /** Whether endpoints are ejected. */
  get isEnabled (): boolean {
    return this._isEnabled()
  }

  /** Revision of the ejections; changes whenever they do. */
  get revision (): number {
    this._decide()
    return this._ejections.revision
  }

  /** Number of endpoints that are ejected or on trial. */
  get ejectedCount (): number {
    this._decide()
    return this._ejections.size
  }

  /**
   * Counts an answer to a request of this router.
   * @param endpoint the endpoint, as it was when the request was sent
   * @param isFailure whether it failed the request
   */
  record (endpoint: EndpointEntry, isFailure: boolean): void {
    if (!this._isEnabled()) return
    const ejection = this._ejections.find(endpoint.id)
    // Requests that were sent before the ejection tell nothing of the trial after it.
    if (ejection !== undefined && !this._ejections.isOnTrial(ejection)) return
    this._counts.record(endpoint, isFailure)
  }

  /**
   * Returns whether an endpoint is ejected or on trial.
   * @param endpointId id of the endpoint
   */
  isEjected (endpointId: string): boolean {
    this._decide()
    return this._ejections.size > 0 && this._ejections.find(endpointId) !== undefined
  }

  /**
   * Returns an endpoint on trial that a request is to be sent to; undefined for none. Each gets a tenth of its share of the requests.
   * @param endpoints endpoints that can be chosen
   */
  pickTrial (endpoints: readonly EndpointEntry[]): EndpointEntry | undefined {
    this._decide()
    if (this._ejections.size === 0) return undefined
    const slots = endpoints.reduce((sum, endpoint) => sum + endpoint.slots, 0)
    let draw = this._options.random() * slots
    return endpoints.find((endpoint) => {
      const ejection = this._ejections.find(endpoint.id)
      if (ejection === undefined || !this._ejections.isOnTrial(ejection)) return false
      draw -= endpoint.slots * TRIAL_FRACTION
      return draw < 0
    })
  }

  /**
   * Returns the answers that this router and some other routers got, to be reported; undefined if endpoints are not ejected.
   * @param routers names of the other routers
   */
  reportWith (routers: readonly string[]): AnswerReport | undefined {
    if (!this._isEnabled()) return undefined
    this._removeExpired()
    const own = this._ownReport()
    const others = routers.flatMap((router) => this._reports.get(router)?.report ?? [])
    return others.length === 0 ? own : this._sum([own, ...others]).toReport(MAXIMUM_REPORTED_ENDPOINTS)
  }

  /**
   * Replaces the report of another router.
   * @param router name of the router
   * @param report answers that it and those on whose behalf it syncs got
   */
  report (router: string, report: AnswerReport): void {
    this._reports.set(router, { report, expiresAt: this._options.clock.now() + REPORT_LIFETIME_MS })
  }

  /** Returns the ejections to be sent to another router. */
  notes (): readonly EjectionNote[] {
    this._decide()
    return this._ejections.notes()
  }

  /**
   * Replaces the ejections by those of the router that this one follows.
   * @param notes its ejections
   * @param source name of that router
   */
  learn (notes: readonly EjectionNote[], source: string): void {
    const known = this._isEnabled() ? notes : []
    for (const id of this._ejections.replace(known, source)) this._counts.forget(id)
  }

  /** Decides anew which endpoints are ejected, if this router follows no other and reports may have arrived since the last decision. */
  private _decide (): void {
    const now = this._options.clock.now()
    if (now < this._nextDecisionAt) return
    this._nextDecisionAt = now + DECISION_INTERVAL_MS
    if (!this._isEnabled()) {
      this._ejections.replace([], 'settings')
      return
    }
    if (this._isFollowing()) return
    this._removeExpired()
    const sums = this._sum([this._ownReport(), ...[...this._reports.values()].map(({ report }) => report)])
    for (const id of this._detector.detect(sums)) this._counts.forget(id)
  }

  private _ownReport (): AnswerReport {
    return this._counts.report(MAXIMUM_REPORTED_ENDPOINTS, (id) => this._ejections.find(id) !== undefined)
  }

  private _sum (reports: readonly AnswerReport[]): AnswerSums {
    return new AnswerSums(reports, {
      endpoints: this._options.endpoints,
      weightOf: ({ id, slots }) => this._ejections.find(id) === undefined ? slots : 0
    })
  }

  private _removeExpired (): void {
    const now = this._options.clock.now()
    for (const [router, { expiresAt }] of this._reports) if (expiresAt <= now) this._reports.delete(router)
  }
}
