import type { AgeLimits } from './age-limits.js'
import { createAgeLimits } from './create-age-limits.js'

/** Maximum age of the endpoints of a router that is followed. They are small and read often; a large configuration takes a reader longer. */
const MAXIMUM_FOLLOW_MS = 1_700

/**
 * Derives the age limits of the endpoints from the time within which all routers have to know a change of them.
 * @param boundMs the bound, in milliseconds
 */
export function createEndpointAgeLimits (boundMs: number): AgeLimits {
  return createAgeLimits(boundMs, MAXIMUM_FOLLOW_MS)
}
