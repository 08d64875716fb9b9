import type { ChatArrival } from './chat-arrival.js'
import type { ReplayedEngine } from './replayed-engine.js'

/** Chooses an engine for each arrival of a replay. */
export interface PlacementPolicy {
  /**
   * Chooses an engine.
   * @param arrival the turn
   * @param engines all engines, those that take no requests included
   * @param now time, in milliseconds
   * @returns index of the engine
   */
  choose (arrival: ChatArrival, engines: readonly ReplayedEngine[], now: number): number
}
