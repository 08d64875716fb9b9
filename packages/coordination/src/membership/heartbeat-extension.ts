import type { RouterIdentity } from '../router-identity.js'

/**
 * Puts a small JSON payload into this router's heartbeats and gets the peers'. A heartbeat goes to a few
 * routers a second, not to all: what everybody must know has to be passed on by the extension itself.
 * Each byte counts `peers x 2` times a second against the budget of control traffic.
 */
export interface HeartbeatExtension {
  /** Short name; it travels with each payload. */
  readonly name: string
  /**
   * The payload of the next heartbeat, or of the answer to one.
   * @param peer who gets it
   * @returns undefined if there is nothing to tell
   */
  outgoing (peer: RouterIdentity): unknown
  /**
   * Takes a peer's payload.
   * @param peer who sent it
   * @param payload what its extension of the same name gave; not validated
   */
  incoming (peer: RouterIdentity, payload: unknown): void
}
