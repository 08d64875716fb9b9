import type { AgeLimits } from './age-limits.js'

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
/** Minimum of the limits. Below it, routers would not follow a sound reader, which reads the store about twice a second. */
const MINIMUM_FOLLOW_MS = 900
const MINIMUM_READ_MS = 1_200

/**
 * Derives the age limits from the time within which all routers have to know a change.
 * @param boundMs the bound, in milliseconds
 * @param maximumFollowMs age above which a router is not followed although the bound would allow it, in milliseconds; unlimited by default
 */
export function createAgeLimits (boundMs: number, maximumFollowMs = Infinity): AgeLimits {
  return {
    followMs: Math.max(MINIMUM_FOLLOW_MS, Math.min(maximumFollowMs, boundMs - TAKEOVER_ALLOWANCE_MS)),
    readMs: Math.max(MINIMUM_READ_MS, boundMs - READ_ALLOWANCE_MS)
  }
}
