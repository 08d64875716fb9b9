import type { RouterIdentity } from '@mimosarock/coordination/router-identity.js'

/** Looks up the owners of endpoints in this router's view of the fleet. */
export interface OwnerLookup {
  /**
   * Returns the router that owns an endpoint.
   * @param pool name of the pool
   * @param endpoint name of the endpoint within the pool
   * @returns undefined for an unknown endpoint, or if no live router can own it
   */
  ownerOf (pool: string, endpoint: string): RouterIdentity | undefined
}
