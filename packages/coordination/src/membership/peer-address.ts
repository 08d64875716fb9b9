import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import type { PeerAccess } from './peer-access.js'

/** IP number and port of a TCP socket. */
export class PeerAddress {
  readonly host: string
  readonly port: number

  /**
   * @param text such as 127.0.0.1:7000 or [::1]:7000
   * @throws {MimosarockError} PEER_PROTOCOL if the text is no address
   */
  constructor (text: string) {
    const colon = text.lastIndexOf(':')
    this.host = text.slice(0, colon).replace(/^\[|\]$/g, '')
    this.port = Number(text.slice(colon + 1))
    const valid = colon > 0 && Number.isInteger(this.port) && this.port >= 0 && this.port <= 65_535
    if (!valid) throw new MimosarockError(ResultCode.PEER_PROTOCOL, `${text} is not an IP number and port`)
  }

  /** Whether the address is on the machine itself. */
  get isLoopback (): boolean {
    return this.host === '::1' || this.host.startsWith('127.')
  }

  /**
   * Refuses plain text beyond loopback, unless the settings allow it by name.
   * @param access what the fleet's connections must show
   * @throws {MimosarockError} PLAIN_TEXT_REFUSED
   */
  requireProtection (access: PeerAccess): void {
    if (access.tls !== undefined || access.allowPlainText === true || this.isLoopback) return
    throw new MimosarockError(ResultCode.PLAIN_TEXT_REFUSED, `no TLS is set for ${this.host}`)
  }
}
