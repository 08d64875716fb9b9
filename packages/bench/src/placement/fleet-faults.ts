import type { Fleet } from '../fleet/fleet.js'
import type { EngineOutage } from './engine-outage.js'
import { PlacementFault } from './placement-fault.js'
import { TIME_SCALE } from './time-scale.js'

const LOAD_LAG_MS = 2_000 / TIME_SCALE
const CACHE_EVENT_LAG_MS = 2_000 / TIME_SCALE
const CACHE_EVENT_LOSS_PROBABILITY = 0.02
const DISAGREE_PERIOD_MS = 60_000 / TIME_SCALE
const SILENT_PERIOD_MS = 40_000 / TIME_SCALE

/** Injects faults into a fleet at scheduled times. */
export class FleetFaults {
  private readonly _fleet: Fleet
  private readonly _faults: ReadonlySet<PlacementFault>
  private readonly _stoppedEngines = new Set<number>()
  private readonly _timers: NodeJS.Timeout[] = []

  /**
   * @param fleet fleet to inject the faults into
   * @param faults kinds of faults to inject
   */
  constructor (fleet: Fleet, faults: ReadonlySet<PlacementFault>) {
    this._fleet = fleet
    this._faults = faults
  }

  /** Returns the current load of each running engine, in running and queued requests. */
  loads (): number[] {
    return this._fleet.engines.filter((_, index) => !this._stoppedEngines.has(index)).map((engine) => engine.runningCount + engine.waitingCount)
  }

  /**
   * Schedules the faults.
   * @param outages outages of engines
   * @param durationMs duration of the run, in milliseconds
   */
  start (outages: readonly EngineOutage[], durationMs: number): void {
    for (const outage of outages) {
      this._schedule(outage.from, async () => await this._stopEngine(outage.engine))
      this._schedule(outage.to, async () => await this._startEngine(outage.engine))
    }
    if (this._faults.has(PlacementFault.LAG)) this._delayReports()
    if (this._faults.has(PlacementFault.DISAGREE)) {
      for (let at = DISAGREE_PERIOD_MS; at < durationMs; at += DISAGREE_PERIOD_MS) this._schedule(at, async () => await this._replaceRouter())
    }
    if (this._faults.has(PlacementFault.SILENT)) {
      for (let at = SILENT_PERIOD_MS; at < durationMs; at += SILENT_PERIOD_MS) this._schedule(at, async () => this._silenceConnections(at))
    }
  }

  /** Cancels the faults that have not been injected yet. */
  stop (): void {
    for (const timer of this._timers) clearTimeout(timer)
  }

  private _schedule (at: number, run: () => Promise<void>): void {
    this._timers.push(setTimeout(() => { run() }, at))
  }

  private async _stopEngine (index: number): Promise<void> {
    const engine = this._fleet.engines[index]
    this._stoppedEngines.add(index)
    engine?.restart()
    await engine?.server.stop()
  }

  private async _startEngine (index: number): Promise<void> {
    await this._fleet.engines[index]?.server.start()
    this._stoppedEngines.delete(index)
  }

  private _delayReports (): void {
    for (const engine of this._fleet.engines) {
      engine.faults.loadLagMs = LOAD_LAG_MS
      engine.faults.cacheEventLagMs = CACHE_EVENT_LAG_MS
      engine.faults.cacheEventLossProbability = CACHE_EVENT_LOSS_PROBABILITY
    }
  }

  private async _replaceRouter (): Promise<void> {
    // Never replaces the first router, so that callers always have a router with an established view of the fleet.
    await this._fleet.startRouter()
    await this._fleet.killRouter(1)
  }

  private _silenceConnections (at: number): void {
    const engines = this._fleet.engines
    engines[Math.round(at / SILENT_PERIOD_MS) % engines.length]?.server.silenceConnections()
  }
}
