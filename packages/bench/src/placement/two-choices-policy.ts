import { SeededRandom } from '@mimosarock/stand-ins/seeded-random.js'
import type { ChatArrival } from './chat-arrival.js'
import { liveIndexes } from './live-indexes.js'
import type { PlacementPolicy } from './placement-policy.js'
import type { ReplayedEngine } from './replayed-engine.js'
import { ReportedLoads } from './reported-loads.js'

/** Power of two choices: of two engines drawn at random, the one with the lower reported load. */
export class TwoChoicesPolicy implements PlacementPolicy {
  private readonly _random: SeededRandom
  private readonly _loads: ReportedLoads

  /**
   * @param seed seed of the draws
   * @param lagMs age of the reports, in milliseconds
   */
  constructor (seed: number, lagMs: number) {
    this._random = new SeededRandom(seed)
    this._loads = new ReportedLoads(lagMs)
  }

  /**
   * Chooses an engine.
   * @param _arrival the turn
   * @param engines all engines
   * @param now time, in milliseconds
   */
  choose (_arrival: ChatArrival, engines: readonly ReplayedEngine[], now: number): number {
    const loads = this._loads.read(engines, now)
    const live = liveIndexes(engines)
    const one = live[this._random.below(live.length)] ?? 0
    const other = live[this._random.below(live.length)] ?? 0
    return (loads[one] ?? 0) <= (loads[other] ?? 0) ? one : other
  }
}
