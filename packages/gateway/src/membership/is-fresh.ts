import type { AgeLimits } from './age-limits.js'
import { configurationAgeMs } from './configuration-age-ms.js'
import type { FleetAgeLimits } from './fleet-age-limits.js'
import type { SyncAnswer } from './sync-answer.js'

/** Time for which a router that follows another one may lack a version until its own followers look for another source. */
const MAXIMUM_AWAITING_MS = 500

/**
 * Whether a router can be followed: its state is recent, and it is close enough to the store.
 * @param answer answer of the router
 * @param maximumDistance maximum number of routers between it and the store
 * @param limits age limits of the endpoints and of the configuration
 */
export function isFresh (answer: SyncAnswer, maximumDistance: number, limits: FleetAgeLimits): boolean {
  // The source must be closer to the store than this router. Two routers that follow each other would both stop reading
  // the store.
  return answer.distance !== null && answer.distance <= maximumDistance &&
    isYoung(configurationAgeMs(answer), limits.configuration) && isYoung(answer.endpointsAgeMs, limits.endpoints) && !isLate(answer)
}

function isLate ({ awaitedConfiguration, distance }: SyncAnswer): boolean {
  // A router that reads the store itself is the first one to have a version.
  if (awaitedConfiguration === undefined || distance === 0) return false
  return awaitedConfiguration.version > 0 && awaitedConfiguration.elapsedMs >= MAXIMUM_AWAITING_MS
}

function isYoung (ageMs: number, limits: AgeLimits): boolean {
  // A negative age states that the state was never read.
  return ageMs >= 0 && ageMs < limits.followMs
}
