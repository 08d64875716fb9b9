import type { AdmissionBound } from '@mimosarock/placement/admission-bound.js'
import type { ChatArrival } from './chat-arrival.js'
import { liveIndexes } from './live-indexes.js'
import type { PlacementPolicy } from './placement-policy.js'
import type { ReplayedEngine } from './replayed-engine.js'

/**
 * Sees every cache and load at once, and admits at the same bound: the engine under the bound that holds most
 * of the chat's context, else the least loaded one.
 */
export class OraclePolicy implements PlacementPolicy {
  private readonly _bound: AdmissionBound
  private readonly _capacity: number

  /**
   * @param bound the bound that the measured fleet keeps
   * @param capacity capacity of each engine
   */
  constructor (bound: AdmissionBound, capacity: number) {
    this._bound = bound
    this._capacity = capacity
  }

  /**
   * Chooses an engine.
   * @param arrival the turn
   * @param engines all engines
   */
  choose (arrival: ChatArrival, engines: readonly ReplayedEngine[]): number {
    const live = liveIndexes(engines)
    const load = (index: number): number => engines[index]?.load ?? 0
    const mean = live.reduce((sum, index) => sum + load(index), 0) / (live.length * this._capacity)
    const limit = this._bound.limit(mean, this._capacity, true)
    const least = live.reduce((best, index) => load(index) < load(best) ? index : best)
    const holders = live.filter((index) => (engines[index]?.cachedTokens(arrival.chat) ?? 0) > 0 && load(index) + 1 <= limit)
    if (holders.length === 0) return least
    const held = (index: number): number => engines[index]?.cachedTokens(arrival.chat) ?? 0
    return holders.reduce((best, index) => held(index) > held(best) ? index : best)
  }
}
