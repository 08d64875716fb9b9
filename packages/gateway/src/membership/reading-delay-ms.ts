/** Number of routers that read the store at once when none is fresh, and factor by which more of them do with each step. */
const FIRST_READERS = 4
/** Delay of the other routers, and what each step adds to it. */
const READING_DELAY_MS = 500
const READING_DELAY_STEP_MS = 500

/**
 * Returns how long a router of a rank waits, after it last followed a fresh router, until it reads the store itself. Each step lets
 * four times as many routers read.
 * @param rank position of the router in the reader order, starting at 0
 */
export function readingDelayMs (rank: number): number {
  if (rank < FIRST_READERS) return 0
  return READING_DELAY_MS + READING_DELAY_STEP_MS * Math.floor(Math.log(rank) / Math.log(FIRST_READERS))
}
