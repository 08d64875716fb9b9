/** Shortest delay, in milliseconds: a round trip and one response, after which capacity may be free. */
const MINIMUM_MS = 250
/** Longest delay, in milliseconds; no surge that lasts longer has been observed. */
const MAXIMUM_MS = 5_000
const MS_PER_SECOND = 1_000

/**
 * Returns the delay after which a rejected caller should retry: the minimum plus a random time, up to the maximum. The mean
 * of the random time is the time in which the requests rejected in the last second could be served. The randomness
 * spreads the retries, which would otherwise cause the next surge.
 * @param rejectedPerSecond rate of rejections
 * @param admittedPerSecond rate of admissions
 * @param random a random number from 0 (inclusive) to 1 (exclusive)
 * @returns the delay in milliseconds
 */
export function retryDelay (rejectedPerSecond: number, admittedPerSecond: number, random: number): number {
  const meanMs = rejectedPerSecond / Math.max(1, admittedPerSecond) * MS_PER_SECOND
  return Math.round(Math.min(MAXIMUM_MS, MINIMUM_MS + meanMs * (0.5 + random)))
}
