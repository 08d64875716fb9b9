import type { RouterIdentity } from './router-identity.js'

/** Which routers are live, as this router sees it; views of two routers may differ for seconds. */
export interface Membership {
  /** This router. */
  readonly self: RouterIdentity
  /** Live routers, this one included, in the order of their ids; suspects count as live until removed. */
  live (): readonly RouterIdentity[]
  /**
   * Calls back after each change of the live routers.
   * @param listener called without arguments
   * @returns a function that ends the calls
   */
  onChange (listener: () => void): () => void
}
