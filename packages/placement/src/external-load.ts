import type { PlacementClock } from './placement-clock.js'

/** Maximum lag of a load report, in milliseconds; the report is compared with the peak local load of this period. */
const REPORT_LAG_MS = 3_000
/** Age at which a load report is stale, in milliseconds. */
const REPORT_STALE_MS = 10_000

/**
 * Load at an endpoint that other routers dispatched. While routers disagree on the owner of an endpoint, each sees
 * the requests of the other only in the load reports of the endpoint. Because reports lag, only the excess over
 * the peak of the local load, which this router dispatched, during the last 3 seconds is attributed to other routers.
 */
export class ExternalLoad {
  private readonly _clock: PlacementClock
  private readonly _peaks: Array<{ recordedAt: number, load: number }> = []
  private _externalLoad = 0
  private _reportedAt = -Infinity

  /**
   * @param clock monotonic clock for the age of reports and local loads
   */
  constructor (clock: PlacementClock) {
    this._clock = clock
  }

  /** External load according to the last report, in requests; 0 if that report is stale. */
  get load (): number {
    return this._clock.now() - this._reportedAt < REPORT_STALE_MS ? this._externalLoad : 0
  }

  /**
   * Records a change of the local load.
   * @param load load that this router has in flight at the endpoint after the change, in requests
   */
  recordLocalLoad (load: number): void {
    const now = this._clock.now()
    // Monotonic queue: a load that is followed by an equal or higher one cannot be the peak of a later window.
    while (this._peaks.length > 0 && (this._peaks.at(-1)?.load ?? 0) <= load) this._peaks.pop()
    this._peaks.push({ recordedAt: now, load })
    while (this._peaks.length > 1 && (this._peaks[1]?.recordedAt ?? 0) <= now - REPORT_LAG_MS) this._peaks.shift()
  }

  /**
   * Records a load report of the endpoint.
   * @param running number of requests that the endpoint runs or queues
   */
  recordReport (running: number): void {
    const now = this._clock.now()
    while (this._peaks.length > 1 && (this._peaks[1]?.recordedAt ?? 0) <= now - REPORT_LAG_MS) this._peaks.shift()
    this._externalLoad = Math.max(0, running - (this._peaks[0]?.load ?? 0))
    this._reportedAt = now
  }
}
