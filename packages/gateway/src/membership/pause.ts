import { SystemClock } from '@mimosarock/coordination/system-clock.js'

const clock = new SystemClock()

/**
 * Waits for a given time. Resolves early, without an error, when the signal is aborted.
 * @param ms time to wait, in milliseconds
 * @param signal ends the wait early
 */
export function pause (ms: number, signal?: AbortSignal): Promise<void> {
  return clock.sleep(ms, signal)
}
