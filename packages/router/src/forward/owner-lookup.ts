import type { RouterIdentity } from '@mimosarock/coordination/router-identity.js'

/** Which router owns an endpoint, as this router sees it. */
export interface OwnerLookup {
  /**
   * The owner of an endpoint.
   * @param pool name of the pool
   * @param endpoint name of the endpoint
   * @returns undefined if no live router can own it
   */
  ownerOf (pool: string, endpoint: string): RouterIdentity | undefined
}
