import type { PlacementClock } from './placement-clock.js'

/** How long an own count is remembered for comparison with a report that lags, in milliseconds. */
const REPORT_LAG_MS = 3_000
/** Age at which a report stops counting, in milliseconds. */
const REPORT_STALE_MS = 10_000

/**
 * Load at an endpoint that this router did not dispatch: while routers disagree on its owner, each of them
 * sees the other's requests only in the endpoint's reports. A report lags, so only what it shows beyond the
 * highest own load of the last seconds counts.
 */
export class ForeignLoad {
  private readonly _clock: PlacementClock
  private readonly _peaks: Array<{ at: number, load: number }> = []
  private _foreign = 0
  private _reportedAt = -Infinity

  /**
   * @param clock source of time
   */
  constructor (clock: PlacementClock) {
    this._clock = clock
  }

  /** Foreign load by the last report, in requests; 0 once that is too old. */
  get load (): number {
    return this._clock.now() - this._reportedAt < REPORT_STALE_MS ? this._foreign : 0
  }

  /**
   * Notes the own load after a change.
   * @param load own load, in requests
   */
  noteOwn (load: number): void {
    const now = this._clock.now()
    // Only a load that no later one exceeds can be the peak of a later span, so the list falls.
    while (this._peaks.length > 0 && (this._peaks.at(-1)?.load ?? 0) <= load) this._peaks.pop()
    this._peaks.push({ at: now, load })
    while (this._peaks.length > 1 && (this._peaks[1]?.at ?? 0) <= now - REPORT_LAG_MS) this._peaks.shift()
  }

  /**
   * Takes a report of the endpoint.
   * @param running requests that the endpoint runs or queues
   */
  noteReport (running: number): void {
    const now = this._clock.now()
    while (this._peaks.length > 1 && (this._peaks[1]?.at ?? 0) <= now - REPORT_LAG_MS) this._peaks.shift()
    this._foreign = Math.max(0, running - (this._peaks[0]?.load ?? 0))
    this._reportedAt = now
  }
}
