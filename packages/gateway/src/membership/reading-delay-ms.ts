/** Number of routers that read the store at once when none is fresh; each step doubles it. */
const FIRST_READERS = 4
/** Delay of the second step, in case the store refuses just the first ones. */
const SECOND_STEP_DELAY_MS = 1_000
/** Delay that each further step adds, in case of a partition that no router of the steps before can see across. */
const FURTHER_STEP_DELAY_MS = 1_500

/**
 * Returns how long a router waits, after it last followed a fresh router, until it reads the store itself although it can
 * reach others.
 * @param rank position of the router in the reader order, starting at 0
 * @param isFirstOfZone whether it is one of the first routers of its availability zone, which are of the second step at the latest
 */
export function readingDelayMs (rank: number, isFirstOfZone: boolean): number {
  if (rank < FIRST_READERS) return 0
  const furtherSteps = Math.floor(Math.log2(rank / FIRST_READERS))
  return isFirstOfZone ? SECOND_STEP_DELAY_MS : SECOND_STEP_DELAY_MS + FURTHER_STEP_DELAY_MS * furtherSteps
}
