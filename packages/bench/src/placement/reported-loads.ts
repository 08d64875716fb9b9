import type { ReplayedEngine } from './replayed-engine.js'

/** Loads as the engines reported them some time ago. */
export class ReportedLoads {
  private readonly _lagMs: number
  private readonly _samples: Array<{ at: number, loads: number[] }> = []

  /**
   * @param lagMs age of the reports, in milliseconds
   */
  constructor (lagMs: number) {
    this._lagMs = lagMs
  }

  /**
   * Loads as known now.
   * @param engines all engines
   * @param now time, in milliseconds
   */
  read (engines: readonly ReplayedEngine[], now: number): readonly number[] {
    this._samples.push({ at: now, loads: engines.map((engine) => engine.load) })
    while ((this._samples[1]?.at ?? Infinity) <= now - this._lagMs) this._samples.shift()
    return this._samples[0]?.loads ?? []
  }
}
