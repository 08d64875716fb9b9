import type { PeerTls } from './peer-tls.js'

/** Access control of the connections between routers; the same on every router of the fleet. */
export interface PeerAccess {
  /** Shared token that a peer must present; if omitted, every peer is accepted. */
  readonly token?: string
  /** Certificates for mutual TLS; if omitted, connections use plain text. */
  readonly tls?: PeerTls
  /** Allows plain text on addresses other than loopback. */
  readonly allowPlainText?: boolean
}
