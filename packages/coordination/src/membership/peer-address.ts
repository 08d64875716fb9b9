import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import type { PeerAccess } from './peer-access.js'

/** IP address and port of a TCP socket. */
export class PeerAddress {
  readonly host: string
  readonly port: number

  /**
   * Parses an address.
   * @param text for example 127.0.0.1:7000 or [::1]:7000
   * @throws {MimosarockError} PEER_PROTOCOL if the text is not an address
   */
  constructor (text: string) {
    const colon = text.lastIndexOf(':')
    this.host = text.slice(0, colon).replace(/^\[|\]$/g, '')
    this.port = Number(text.slice(colon + 1))
    const valid = colon > 0 && Number.isInteger(this.port) && this.port >= 0 && this.port <= 65_535
    if (!valid) throw new MimosarockError(ResultCode.PEER_PROTOCOL, `${text} is not an IP address and port`)
  }

  /** Whether the address is a loopback address. */
  get isLoopback (): boolean {
    return this.host === '::1' || this.host.startsWith('127.')
  }

  /**
   * Requires TLS for addresses other than loopback, unless the settings explicitly allow plain text.
   * @param access access control of the fleet's connections
   * @throws {MimosarockError} PLAIN_TEXT_REFUSED if the connection would be unprotected
   */
  requireProtection (access: PeerAccess): void {
    if (access.tls !== undefined || access.allowPlainText === true || this.isLoopback) return
    throw new MimosarockError(ResultCode.PLAIN_TEXT_REFUSED, `TLS is not configured for ${this.host}`)
  }
}
