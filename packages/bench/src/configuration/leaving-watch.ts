import type { ModelEngineStandIn } from '@mimosarock/stand-ins/model-engine-stand-in.js'

const SAMPLE_MS = 5

/**
 * Watches an engine that is told to leave and gives the time of the last new work that it got.
 * @param engine the engine
 * @param durationMs how long to watch, in milliseconds
 * @returns milliseconds after the call; 0 if it got no new work
 */
export async function watchLeaving (engine: ModelEngineStandIn, durationMs: number): Promise<number> {
  const startedAt = performance.now()
  let last = 0
  let seen = engine.counts.completions
  while (performance.now() - startedAt < durationMs) {
    await new Promise((resolve) => setTimeout(resolve, SAMPLE_MS))
    if (engine.counts.completions === seen) continue
    seen = engine.counts.completions
    last = performance.now() - startedAt
  }
  return last
}
