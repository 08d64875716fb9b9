import type { Clock } from '@mimosarock/coordination/clock.js'
import type { ModelEngineFaults } from '../model-engine-faults.js'

/** Load of an engine, as it goes over the wire. */
interface LoadReport {
  readonly running: number
  readonly waiting: number
  readonly capacity: number
  readonly cached_tokens: number
  readonly cache_limit_tokens: number
}

/** Gives the load as it was some time ago. */
export class LoadReports {
  private readonly _clock: Clock
  private readonly _faults: ModelEngineFaults
  private _reports: Array<{ at: number, report: LoadReport }> = []

  /**
   * @param clock source of the lag
   * @param faults the lag
   */
  constructor (clock: Clock, faults: ModelEngineFaults) {
    this._clock = clock
    this._faults = faults
  }

  /**
   * Notes a change of the load.
   * @param report the load from now on
   */
  note (report: LoadReport): void {
    const now = this._clock.now()
    this._reports.push({ at: now, report })
    const needed = this._reports.findLastIndex((kept) => kept.at <= now - this._faults.loadLagMs)
    // Dropping in blocks keeps the cost of a note constant on average.
    if (needed > 64) this._reports = this._reports.slice(needed)
  }

  /** The load of the lag ago; the oldest known one if the engine is younger. */
  current (): LoadReport | undefined {
    const seenAt = this._clock.now() - this._faults.loadLagMs
    return (this._reports.findLast((kept) => kept.at <= seenAt) ?? this._reports[0])?.report
  }
}
