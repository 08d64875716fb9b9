/** Time over which the mean of past reports is taken, in milliseconds. */
const AVERAGING_MS = 1_000
/** Age of a load report while it is in use, on average, in milliseconds: the time on its way and half of the interval of reports. */
const REPORT_AGE_MS = 400

/**
 * Forecasts the requests in flight at a service from load reports. Requests that take much longer than the reports are old
 * are still in flight, so the last report counts. Of short requests none is left that the last report has seen, and it
 * says no more than the reports before it; then their mean counts. In between, what the last report exceeds the mean by
 * decays exponentially with the time that a request takes.
 */
export class LoadForecast {
  private _mean = 0
  private _last = 0
  private _reportedAt: number | undefined

  /**
   * Records a report.
   * @param requests requests in flight
   * @param now time, in milliseconds
   */
  record (requests: number, now: number): void {
    const elapsedMs = this._reportedAt === undefined ? Infinity : now - this._reportedAt
    this._mean += (requests - this._mean) * (1 - Math.exp(-elapsedMs / AVERAGING_MS))
    this._last = requests
    this._reportedAt = now
  }

  /**
   * Returns the number of requests presumably in flight now.
   * @param serviceMs mean time that a request takes, in milliseconds; undefined if it is not known
   */
  requests (serviceMs: number | undefined): number {
    if (serviceMs === undefined) return this._last
    return this._mean + (this._last - this._mean) * Math.exp(-REPORT_AGE_MS / Math.max(1, serviceMs))
  }
}
