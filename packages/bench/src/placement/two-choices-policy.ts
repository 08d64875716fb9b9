import { SeededRandom } from '@mimosarock/stand-ins/seeded-random.js'
import type { ChatArrival } from './chat-arrival.js'
import { liveIndexes } from './live-indexes.js'
import type { PlacementPolicy } from './placement-policy.js'
import type { ReplayedEngine } from './replayed-engine.js'
import { ReportedLoads } from './reported-loads.js'

/** Power of two choices: chooses the engine with the lower reported load out of two drawn at random. */
export class TwoChoicesPolicy implements PlacementPolicy {
  private readonly _random: SeededRandom
  private readonly _loads: ReportedLoads

  /**
   * @param seed seed of the random number generator
   * @param lagMs age of the load reports, in milliseconds
   */
  constructor (seed: number, lagMs: number) {
    this._random = new SeededRandom(seed)
    this._loads = new ReportedLoads(lagMs)
  }

  /**
   * Chooses an engine.
   * @param _arrival not used
   * @param engines all engines, including unavailable ones
   * @param now time since the start, in milliseconds
   */
  choose (_arrival: ChatArrival, engines: readonly ReplayedEngine[], now: number): number {
    const loads = this._loads.read(engines, now)
    const live = liveIndexes(engines)
    const first = live[this._random.below(live.length)] ?? 0
    const second = live[this._random.below(live.length)] ?? 0
    return (loads[first] ?? 0) <= (loads[second] ?? 0) ? first : second
  }
}
