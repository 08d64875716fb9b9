import type { Clock } from '@mimosarock/coordination/clock.js'
import type { ModelEngineFaults } from '../model-engine-faults.js'

/** Load of an engine, in wire format. */
interface LoadReport {
  readonly running: number
  readonly waiting: number
  readonly capacity: number
  readonly cached_tokens: number
  readonly cache_limit_tokens: number
}

/** Serves load reports with a lag. */
export class LoadReports {
  private readonly _clock: Clock
  private readonly _faults: ModelEngineFaults
  private _reports: Array<{ recordedAt: number, report: LoadReport }> = []

  /**
   * @param clock measures the lag
   * @param faults lag of the reports
   */
  constructor (clock: Clock, faults: ModelEngineFaults) {
    this._clock = clock
    this._faults = faults
  }

  /**
   * Records a change of the load.
   * @param report current load
   */
  record (report: LoadReport): void {
    const now = this._clock.now()
    this._reports.push({ recordedAt: now, report })
    const currentIndex = this._reports.findLastIndex((entry) => entry.recordedAt <= now - this._faults.loadLagMs)
    // Deleting old reports in blocks of more than 64 keeps the amortized cost of a record constant.
    if (currentIndex > 64) this._reports = this._reports.slice(currentIndex)
  }

  /** Returns the load at the current time minus the lag, or the oldest recorded load if none is that old. */
  current (): LoadReport | undefined {
    const reportTime = this._clock.now() - this._faults.loadLagMs
    return (this._reports.findLast((entry) => entry.recordedAt <= reportTime) ?? this._reports[0])?.report
  }
}
