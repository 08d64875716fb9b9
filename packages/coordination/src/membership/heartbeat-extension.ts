import type { RouterIdentity } from '../router-identity.js'

/**
 * Adds a small JSON payload to heartbeats and receives the payloads of peers. A router sends heartbeats to a few
 * routers per second, not to all; an extension must forward by itself what the whole fleet has to receive.
 * At one heartbeat per second, each byte of a payload costs `peers x 2` bytes per second of the control traffic budget,
 * where `peers` is the number of heartbeat peers: payloads are sent in heartbeats and in responses.
 */
export interface HeartbeatExtension {
  /** Identifies the extension on the wire; should be short, since it is sent with each payload. */
  readonly name: string
  /**
   * Returns the payload for the next heartbeat, or for the response to one.
   * @param peer the receiver
   * @returns a JSON value, or undefined to send no payload
   */
  outgoing (peer: RouterIdentity): unknown
  /**
   * Handles a payload received from a peer.
   * @param peer the sender
   * @param payload JSON value that the peer's extension of the same name returned; not validated
   */
  incoming (peer: RouterIdentity, payload: unknown): void
}
