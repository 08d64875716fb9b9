import type { ModelEngineStandIn } from '@mimosarock/stand-ins/model-engine-stand-in.js'

const SAMPLE_MS = 5

/**
 * Measures when an engine that is being retired receives its last new request.
 * @param engine engine to watch
 * @param durationMs how long to watch, in milliseconds
 * @returns time of the last new request, in milliseconds after the watch began; 0 if there was none
 */
export async function measureLastRequestMs (engine: ModelEngineStandIn, durationMs: number): Promise<number> {
  const startedAt = performance.now()
  let lastRequestMs = 0
  let completions = engine.counts.completions
  while (performance.now() - startedAt < durationMs) {
    await new Promise((resolve) => setTimeout(resolve, SAMPLE_MS))
    if (engine.counts.completions === completions) continue
    completions = engine.counts.completions
    lastRequestMs = performance.now() - startedAt
  }
  return lastRequestMs
}
