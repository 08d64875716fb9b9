import type { ReplayedEngine } from './replayed-engine.js'

/** Provides the engine loads with a delay, as load reports do. */
export class ReportedLoads {
  private readonly _lagMs: number
  private readonly _samples: Array<{ at: number, loads: number[] }> = []

  /**
   * @param lagMs age of the load reports, in milliseconds
   */
  constructor (lagMs: number) {
    this._lagMs = lagMs
  }

  /**
   * Records the current loads and returns the reported ones, in the order of the engines.
   * @param engines all engines, including unavailable ones
   * @param now time since the start, in milliseconds; must not decrease between calls
   */
  read (engines: readonly ReplayedEngine[], now: number): readonly number[] {
    this._samples.push({ at: now, loads: engines.map((engine) => engine.load) })
    while ((this._samples[1]?.at ?? Infinity) <= now - this._lagMs) this._samples.shift()
    return this._samples[0]?.loads ?? []
  }
}
