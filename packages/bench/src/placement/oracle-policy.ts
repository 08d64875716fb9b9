import type { AdmissionBound } from '@mimosarock/placement/admission-bound.js'
import type { ChatArrival } from './chat-arrival.js'
import { liveIndexes } from './live-indexes.js'
import type { PlacementPolicy } from './placement-policy.js'
import type { ReplayedEngine } from './replayed-engine.js'

/**
 * Chooses with immediate knowledge of every cache and load, and with the same upper bound as the fleet: the engine
 * below the bound that has the most of the chat's context in its cache, or the least loaded engine if there is none.
 */
export class OraclePolicy implements PlacementPolicy {
  private readonly _bound: AdmissionBound
  private readonly _capacity: number

  /**
   * @param bound upper bound that the measured fleet applies
   * @param capacity capacity of each engine
   */
  constructor (bound: AdmissionBound, capacity: number) {
    this._bound = bound
    this._capacity = capacity
  }

  /**
   * Chooses an engine.
   * @param arrival turn to place
   * @param engines all engines, including unavailable ones
   */
  choose (arrival: ChatArrival, engines: readonly ReplayedEngine[]): number {
    const live = liveIndexes(engines)
    const load = (index: number): number => engines[index]?.load ?? 0
    const mean = live.reduce((sum, index) => sum + load(index), 0) / (live.length * this._capacity)
    const limit = this._bound.limit(mean, this._capacity, true)
    const leastLoaded = live.reduce((best, index) => load(index) < load(best) ? index : best)
    const holders = live.filter((index) => (engines[index]?.cachedTokens(arrival.chat) ?? 0) > 0 && load(index) + 1 <= limit)
    if (holders.length === 0) return leastLoaded
    const cachedTokens = (index: number): number => engines[index]?.cachedTokens(arrival.chat) ?? 0
    return holders.reduce((best, index) => cachedTokens(index) > cachedTokens(best) ? index : best)
  }
}
