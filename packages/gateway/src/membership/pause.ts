import { SystemClock } from '@mimosarock/coordination/system-clock.js'

const clock = new SystemClock()

/**
 * Waits.
 * @param ms how long, in milliseconds
 * @param signal ends the wait early; the promise then resolves as well
 */
export function pause (ms: number, signal?: AbortSignal): Promise<void> {
  return clock.sleep(ms, signal)
}
