import type { PeerTls } from './peer-tls.js'

/** What a connection between routers must show; the same for the whole fleet. */
export interface PeerAccess {
  /** Shared token; every peer is let in if it is left out. */
  readonly token?: string
  /** Encrypts the connections; plain text if it is left out. */
  readonly tls?: PeerTls
  /** Allows plain text beyond loopback. */
  readonly allowPlainText?: boolean
}
