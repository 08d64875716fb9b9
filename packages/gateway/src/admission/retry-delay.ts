/** Shortest delay, in milliseconds: a round trip and one response, after which capacity may be free. */
const MINIMUM_MS = 250
/** Longest delay, in milliseconds; no longer surge is known. */
const MAXIMUM_MS = 5_000
const MS_PER_SECOND = 1_000

/**
 * Returns the delay after which a refused caller should retry. Its mean is the time in which the refusals of the last
 * second could be served. Random jitter spreads the retries over that time, which keeps them from returning as the next surge.
 * @param refusedPerSecond rate of refusals
 * @param admittedPerSecond rate of admissions
 * @param random a random number from 0 (inclusive) to 1 (exclusive)
 * @returns the delay in milliseconds
 */
export function retryDelay (refusedPerSecond: number, admittedPerSecond: number, random: number): number {
  const meanMs = refusedPerSecond / Math.max(1, admittedPerSecond) * MS_PER_SECOND
  return Math.round(Math.min(MAXIMUM_MS, MINIMUM_MS + meanMs * (0.5 + random)))
}
