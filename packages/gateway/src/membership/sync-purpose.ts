/** As what a router asks another one. */
export interface SyncPurpose {
  /** Whether the other one is to count the asking router's requests in flight; only the one that it follows. */
  readonly tellsLoad: boolean
  /** Names of the routers for which it asks as well; none in a fleet that is not large. */
  readonly followers: readonly string[]
}
