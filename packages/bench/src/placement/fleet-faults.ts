import type { Fleet } from '../fleet/fleet.js'
import type { EngineLoss } from './engine-loss.js'
import { PlacementFault } from './placement-fault.js'
import { SCALE } from './scale.js'

const LOAD_LAG_MS = 2_000 / SCALE
const CACHE_EVENT_LAG_MS = 2_000 / SCALE
const CACHE_EVENT_LOSS_SHARE = 0.02
const DISAGREE_PERIOD_MS = 60_000 / SCALE
const SILENT_PERIOD_MS = 40_000 / SCALE

/** Causes faults in a fleet at their times. */
export class FleetFaults {
  private readonly _fleet: Fleet
  private readonly _faults: ReadonlySet<PlacementFault>
  private readonly _down = new Set<number>()
  private readonly _timers: NodeJS.Timeout[] = []

  /**
   * @param fleet the fleet
   * @param faults which ones to cause
   */
  constructor (fleet: Fleet, faults: ReadonlySet<PlacementFault>) {
    this._fleet = fleet
    this._faults = faults
  }

  /** Loads of the engines that are up, as they are now. */
  loads (): number[] {
    return this._fleet.engines.filter((_, index) => !this._down.has(index)).map((engine) => engine.runningCount + engine.waitingCount)
  }

  /**
   * Sets the timers.
   * @param losses times at which engines are lost
   * @param durationMs length of the run, in milliseconds
   */
  start (losses: readonly EngineLoss[], durationMs: number): void {
    for (const loss of losses) {
      this._at(loss.from, async () => await this._lose(loss.engine))
      this._at(loss.to, async () => await this._bringBack(loss.engine))
    }
    if (this._faults.has(PlacementFault.LAG)) this._lag()
    if (this._faults.has(PlacementFault.DISAGREE)) {
      for (let at = DISAGREE_PERIOD_MS; at < durationMs; at += DISAGREE_PERIOD_MS) this._at(at, async () => await this._replaceRouter())
    }
    if (this._faults.has(PlacementFault.SILENT)) {
      for (let at = SILENT_PERIOD_MS; at < durationMs; at += SILENT_PERIOD_MS) this._at(at, async () => this._silence(at))
    }
  }

  /** Ends the timers. */
  stop (): void {
    for (const timer of this._timers) clearTimeout(timer)
  }

  private _at (at: number, run: () => Promise<void>): void {
    this._timers.push(setTimeout(() => { run() }, at))
  }

  private async _lose (index: number): Promise<void> {
    const engine = this._fleet.engines[index]
    this._down.add(index)
    engine?.restart()
    await engine?.server.stop()
  }

  private async _bringBack (index: number): Promise<void> {
    await this._fleet.engines[index]?.server.start()
    this._down.delete(index)
  }

  private _lag (): void {
    for (const engine of this._fleet.engines) {
      engine.faults.loadLagMs = LOAD_LAG_MS
      engine.faults.cacheEventLagMs = CACHE_EVENT_LAG_MS
      engine.faults.cacheEventLossProbability = CACHE_EVENT_LOSS_SHARE
    }
  }

  private async _replaceRouter (): Promise<void> {
    // The first router stays, so that callers always have one that was there before.
    await this._fleet.startRouter()
    await this._fleet.killRouter(1)
  }

  private _silence (at: number): void {
    const engines = this._fleet.engines
    engines[Math.round(at / SILENT_PERIOD_MS) % engines.length]?.server.silenceConnections()
  }
}
