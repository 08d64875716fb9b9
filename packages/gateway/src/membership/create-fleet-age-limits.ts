import type { AgeLimits } from './age-limits.js'
import type { FleetAgeLimits } from './fleet-age-limits.js'
import type { PropagationBounds } from './propagation-bounds.js'

/**
 * Part of a bound that is left when a router starts to read the store itself: the interval at which it checks its age, the read, and a
 * request that is on its way to an endpoint meanwhile.
 */
const READ_ALLOWANCE_MS = 500
/**
 * Part of a bound that is left when a router stops following another one: an interval between sync requests until it notices, a read
 * of the router that takes over, and another interval until the others have asked that one.
 */
const TAKEOVER_ALLOWANCE_MS = 1_000
/** Maximum age of the endpoints of a router that is followed. They are small and read often; a large configuration takes a reader longer. */
const MAXIMUM_ENDPOINTS_FOLLOW_MS = 1_700
/** Minimum of the limits. Below it, routers would not follow a sound reader, which reads the store about twice a second. */
const MINIMUM_FOLLOW_MS = 900
const MINIMUM_READ_MS = 1_200

/**
 * Derives the age limits from the times within which all routers have to know a change.
 * @param bounds the times
 */
export function createFleetAgeLimits ({ endpointsMs, configurationMs }: PropagationBounds): FleetAgeLimits {
  return {
    endpoints: createLimits(endpointsMs, MAXIMUM_ENDPOINTS_FOLLOW_MS),
    configuration: createLimits(configurationMs, Infinity)
  }
}

function createLimits (boundMs: number, maximumFollowMs: number): AgeLimits {
  return {
    followMs: Math.max(MINIMUM_FOLLOW_MS, Math.min(maximumFollowMs, boundMs - TAKEOVER_ALLOWANCE_MS)),
    readMs: Math.max(MINIMUM_READ_MS, boundMs - READ_ALLOWANCE_MS)
  }
}
