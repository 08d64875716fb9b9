import type { ReplayedEngine } from './replayed-engine.js'

/**
 * Returns the indexes of the engines that accept requests.
 * @param engines all engines, including unavailable ones
 */
export function liveIndexes (engines: readonly ReplayedEngine[]): number[] {
  return engines.flatMap((engine, index) => engine.live ? [index] : [])
}
