import type { RouterIdentity } from './router-identity.js'

/** This router's view of the live routers of the fleet. The views of two routers may differ for seconds. */
export interface Membership {
  /** This router. */
  readonly self: RouterIdentity
  /** Returns the live routers, including this one, sorted by id. Suspects count as live until they are removed. */
  live (): readonly RouterIdentity[]
  /**
   * Registers a listener for changes of the set of live routers or of their leaving flags.
   * @param listener called without arguments, after the change took effect
   * @returns a function that removes the listener
   */
  onChange (listener: () => void): () => void
}
