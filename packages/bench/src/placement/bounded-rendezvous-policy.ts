import type { AdmissionBound } from '@mimosarock/placement/admission-bound.js'
import type { ChatArrival } from './chat-arrival.js'
import { liveIndexes } from './live-indexes.js'
import type { PlacementPolicy } from './placement-policy.js'
import { RendezvousPolicy } from './rendezvous-policy.js'
import type { ReplayedEngine } from './replayed-engine.js'
import { ReportedLoads } from './reported-loads.js'

/**
 * Rendezvous hashing with bounded loads, for a router that knows nothing but the load reports: chooses the first engine
 * in the chat's rendezvous order whose reported load is below the upper bound. The bench prints its results as
 * `reuse_alone` and `share_over_bound_alone`.
 */
export class BoundedRendezvousPolicy implements PlacementPolicy {
  private readonly _rendezvous = new RendezvousPolicy()
  private readonly _loads: ReportedLoads
  private readonly _bound: AdmissionBound
  private readonly _capacity: number

  /**
   * @param bound upper bound that the measured fleet applies
   * @param capacity capacity of each engine
   * @param lagMs age of the load reports, in milliseconds
   */
  constructor (bound: AdmissionBound, capacity: number, lagMs: number) {
    this._bound = bound
    this._capacity = capacity
    this._loads = new ReportedLoads(lagMs)
  }

  /**
   * Chooses an engine; the first live one in the chat's rendezvous order if none is below the upper bound.
   * @param arrival turn to place
   * @param engines all engines, including unavailable ones
   * @param now time since the start, in milliseconds
   */
  choose (arrival: ChatArrival, engines: readonly ReplayedEngine[], now: number): number {
    const loads = this._loads.read(engines, now)
    const live = liveIndexes(engines)
    const mean = live.reduce((sum, index) => sum + (loads[index] ?? 0), 0) / (live.length * this._capacity)
    const limit = this._bound.limit(mean, this._capacity, true)
    const order = this._rendezvous.order(arrival, engines).filter((index) => engines[index]?.live)
    return order.find((index) => (loads[index] ?? 0) + 1 <= limit) ?? order[0] ?? 0
  }
}
