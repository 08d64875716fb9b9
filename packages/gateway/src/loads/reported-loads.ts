import type { EventLog } from '@mimosarock/coordination/event-log.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import type { ElapsedClock } from '../model/elapsed-clock.js'
import type { EndpointEntry } from '../model/endpoint-entry.js'
import type { StatedLoad } from '../model/stated-load.js'

/** Age from which a report is disregarded, in milliseconds; requests take far less than that at small services. */
const REPORT_LIFETIME_MS = 2_000
/** Time constant of the smoothed slowdown, in milliseconds. */
const SMOOTHING_MS = 1_000
/** Minimum time between two warnings about one endpoint, in milliseconds. */
const WARNING_INTERVAL_MS = 60_000

/** Last report of one incarnation. */
interface Report {
  readonly startedAt: number
  readonly load: StatedLoad
  readonly at: number
  readonly smoothedSlowdown: number | undefined
}

/** Loads that endpoints state in their responses, by incarnation. */
export class ReportedLoads {
  private readonly _clock: ElapsedClock
  private readonly _log: EventLog
  private readonly _reports = new Map<string, Report>()
  private readonly _warnedAt = new Map<string, number>()

  /**
   * @param clock measures the age of reports
   * @param log receives warnings about loads that cannot be read
   */
  constructor (clock: ElapsedClock, log: EventLog) {
    this._clock = clock
    this._log = log
  }

  /**
   * Records the load that an endpoint states.
   * @param endpoint endpoint that stated it
   * @param load the load
   */
  record ({ id, startedAt }: EndpointEntry, load: StatedLoad): void {
    const last = this._reports.get(id)
    const previous = last?.startedAt === startedAt ? last : undefined
    this._reports.set(id, { startedAt, load, at: this._clock.now(), smoothedSlowdown: this._smoothed(previous, load.slowdown) })
  }

  /**
   * Warns that an endpoint states its load in a form that cannot be read, once a minute for each endpoint.
   * @param endpoint endpoint that stated it
   */
  recordInvalid ({ id, service }: EndpointEntry): void {
    const now = this._clock.now()
    if (now - (this._warnedAt.get(id) ?? -Infinity) < WARNING_INTERVAL_MS) return
    this._warnedAt.set(id, now)
    this._log.warn('endpoint-load-invalid', { endpoint: id, service, code: ResultCode.ENDPOINT_LOAD_INVALID })
  }

  /**
   * Returns the last load that an endpoint stated; undefined if it stated none in the last two seconds.
   * @param endpoint the endpoint
   */
  last (endpoint: EndpointEntry): StatedLoad | undefined {
    return this._recent(endpoint)?.load
  }

  /**
   * Returns the time since the last report of an endpoint, in milliseconds; Infinity if there is none.
   * @param endpoint the endpoint
   */
  ageMs (endpoint: EndpointEntry): number {
    const report = this._recent(endpoint)
    return report === undefined ? Infinity : this._clock.now() - report.at
  }

  /**
   * Returns how much more time than usual work takes at an endpoint, smoothed over a second; undefined if it is not known.
   * @param endpoint the endpoint
   */
  smoothedSlowdown (endpoint: EndpointEntry): number | undefined {
    return this._recent(endpoint)?.smoothedSlowdown
  }

  /**
   * Forgets an endpoint that is no longer registered.
   * @param endpointId id of the endpoint
   */
  remove (endpointId: string): void {
    this._reports.delete(endpointId)
    this._warnedAt.delete(endpointId)
  }

  private _recent ({ id, startedAt }: EndpointEntry): Report | undefined {
    const report = this._reports.get(id)
    return report?.startedAt === startedAt && this._clock.now() - report.at < REPORT_LIFETIME_MS ? report : undefined
  }

  private _smoothed (previous: Report | undefined, slowdown: number | undefined): number | undefined {
    if (slowdown === undefined || previous?.smoothedSlowdown === undefined) return slowdown
    const weight = 1 - Math.exp(-(this._clock.now() - previous.at) / SMOOTHING_MS)
    return previous.smoothedSlowdown + (slowdown - previous.smoothedSlowdown) * weight
  }
}
