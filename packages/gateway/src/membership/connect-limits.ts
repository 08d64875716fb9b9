import type { FleetState } from './fleet-state.js'
import type { FleetSync } from './fleet-sync.js'

/** Minimum interval between syncs because of requests that wait for permits, or of news of limits. */
const PERMIT_INTERVAL_MS = 100
/** The same in a large fleet, where one router answers those of its whole zone. */
const LARGE_FLEET_PERMIT_INTERVAL_MS = 250

/**
 * Lets a router get permits, and tell of limits, by its sync.
 * @param state state of the router
 * @param sync sync of the router
 */
export function connectLimits ({ limits, permits, routers, warmUps }: Pick<FleetState, 'limits' | 'permits' | 'routers' | 'warmUps'>, sync: FleetSync): void {
  const askSoon = (): void => sync.syncAfter(routers.isLarge ? LARGE_FLEET_PERMIT_INTERVAL_MS : PERMIT_INTERVAL_MS)
  permits.setSource({ isFollowing: () => sync.isFollowing, askSoon })
  limits.onNews(askSoon)
  warmUps.onNews(askSoon)
  sync.onRoundEnd(() => permits.refill())
}
