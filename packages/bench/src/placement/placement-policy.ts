import type { ChatArrival } from './chat-arrival.js'
import type { ReplayedEngine } from './replayed-engine.js'

/** Chooses an engine for each arrival of a replay. */
export interface PlacementPolicy {
  /**
   * Chooses an engine.
   * @param arrival turn to place
   * @param engines all engines, including unavailable ones
   * @param now time since the start, in milliseconds
   * @returns index of the chosen engine
   */
  choose (arrival: ChatArrival, engines: readonly ReplayedEngine[], now: number): number
}
