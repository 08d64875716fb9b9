import type { FleetState } from './fleet-state.js'
import type { FleetSync } from './fleet-sync.js'

/**
 * Lets a router leave the decision which endpoints are ejected to the one that it follows.
 * @param state state of the router
 * @param sync sync of the router
 */
export function connectOutliers ({ outliers }: Pick<FleetState, 'outliers'>, sync: FleetSync): void {
  outliers.followWhile(() => sync.isFollowing)
}
