import type { RouterIdentity } from '@mimosarock/coordination/router-identity.js'

/** Which router owns an endpoint, and when that changes. */
export interface EndpointOwnership {
  /**
   * The owner of an endpoint.
   * @param pool name of the pool
   * @param endpoint name of the endpoint
   * @returns undefined if no live router can own it
   */
  ownerOf (pool: string, endpoint: string): RouterIdentity | undefined
  /**
   * Calls back after each change of owners.
   * @param listener called without arguments
   * @returns a function that ends the calls
   */
  onChange (listener: () => void): () => void
}
