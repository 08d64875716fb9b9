import type { SyncAnswer } from './sync-answer.js'

/** Maximum age of the configuration of a router that is followed. */
const MAXIMUM_CONFIGURATION_AGE_MS = 3_200
/** Maximum age of the endpoints of a router that is followed; they are read more often than the configuration. */
const MAXIMUM_ENDPOINTS_AGE_MS = 1_700

/**
 * Whether a router can be followed: its state is recent, and it is close enough to the store.
 * @param answer answer of the router
 * @param maximumDistance maximum number of routers between it and the store
 */
export function isFresh (answer: SyncAnswer, maximumDistance: number): boolean {
  // The source must be closer to the store than this router. Two routers that follow each other would both stop reading
  // the store.
  return answer.distance !== null && answer.distance <= maximumDistance && answer.configurationReadAgeMs >= 0 && answer.configurationReadAgeMs < MAXIMUM_CONFIGURATION_AGE_MS &&
    answer.endpointsAgeMs >= 0 && answer.endpointsAgeMs < MAXIMUM_ENDPOINTS_AGE_MS
}
