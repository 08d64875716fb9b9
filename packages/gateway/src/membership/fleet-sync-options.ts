import type { RouterTable } from './router-table.js'
import type { SyncClient } from './sync-client.js'

/** What keeps a router's knowledge fresh. */
export interface FleetSyncOptions {
  /** The fleet. */
  readonly routers: RouterTable
  /** Asks a router. */
  readonly client: SyncClient
  /** Peer addresses of routers that may be up, host:port. */
  readonly seeds: readonly string[]
  /** Whether this router's own reading of the store fails. */
  readonly isStoreFailing: () => boolean
}
