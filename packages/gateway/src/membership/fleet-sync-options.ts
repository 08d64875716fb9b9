import type { FleetAgeLimits } from './fleet-age-limits.js'
import type { RouterTable } from './router-table.js'
import type { SyncClient } from './sync-client.js'

/** Dependencies of `FleetSync`. */
export interface FleetSyncOptions {
  /** Live routers of the fleet. */
  readonly routers: RouterTable
  /** Client for sync requests to other routers. */
  readonly client: SyncClient
  /** Peer addresses to contact at the start, host:port. */
  readonly seeds: readonly string[]
  /** Whether this router currently fails to read the store. */
  readonly isStoreFailing: () => boolean
  /** Returns the limits of the age of a router that is followed. */
  readonly ageLimits: () => FleetAgeLimits
}
