import type { ReplayedEngine } from './replayed-engine.js'

/**
 * Indexes of the engines that take requests.
 * @param engines all engines
 */
export function liveIndexes (engines: readonly ReplayedEngine[]): number[] {
  return engines.flatMap((engine, index) => engine.live ? [index] : [])
}
