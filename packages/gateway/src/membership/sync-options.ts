/** Options of one sync request. */
export interface SyncOptions {
  /** Whether the request reports requests in flight. Only the router that is followed may count them. */
  readonly reportsLoad: boolean
  /** Names of the routers on whose behalf this router syncs; empty unless the fleet is large. */
  readonly followers: readonly string[]
}
