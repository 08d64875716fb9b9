import type { AdmissionBound } from '@mimosarock/placement/admission-bound.js'
import type { ChatArrival } from './chat-arrival.js'
import { liveIndexes } from './live-indexes.js'
import type { PlacementPolicy } from './placement-policy.js'
import { RendezvousPolicy } from './rendezvous-policy.js'
import type { ReplayedEngine } from './replayed-engine.js'
import { ReportedLoads } from './reported-loads.js'

/** Each router by itself: the first engine of the chat's order whose reported load is under the bound. */
export class AlonePolicy implements PlacementPolicy {
  private readonly _order = new RendezvousPolicy()
  private readonly _loads: ReportedLoads
  private readonly _bound: AdmissionBound
  private readonly _capacity: number

  /**
   * @param bound the bound that the measured fleet keeps
   * @param capacity capacity of each engine
   * @param lagMs age of the reports, in milliseconds
   */
  constructor (bound: AdmissionBound, capacity: number, lagMs: number) {
    this._bound = bound
    this._capacity = capacity
    this._loads = new ReportedLoads(lagMs)
  }

  /**
   * Chooses an engine.
   * @param arrival the turn
   * @param engines all engines
   * @param now time, in milliseconds
   */
  choose (arrival: ChatArrival, engines: readonly ReplayedEngine[], now: number): number {
    const loads = this._loads.read(engines, now)
    const live = liveIndexes(engines)
    const mean = live.reduce((sum, index) => sum + (loads[index] ?? 0), 0) / (live.length * this._capacity)
    const limit = this._bound.limit(mean, this._capacity, true)
    const order = this._order.order(arrival, engines).filter((index) => engines[index]?.live)
    return order.find((index) => (loads[index] ?? 0) + 1 <= limit) ?? order[0] ?? 0
  }
}
