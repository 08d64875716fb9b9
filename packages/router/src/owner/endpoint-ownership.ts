import type { RouterIdentity } from '@mimosarock/coordination/router-identity.js'

/** Looks up the owners of endpoints and reports their changes. */
export interface EndpointOwnership {
  /**
   * Returns the owner of an endpoint.
   * @param pool name of the pool
   * @param endpoint name of the endpoint
   * @returns undefined for an unknown endpoint, or if no live router can own it
   */
  ownerOf (pool: string, endpoint: string): RouterIdentity | undefined
  /**
   * Registers a listener that is called after each change of owners.
   * @param listener called without arguments
   * @returns a function that removes the listener
   */
  onChange (listener: () => void): () => void
}
