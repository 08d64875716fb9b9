import { createHash, timingSafeEqual } from 'node:crypto'
import { createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'
import { createServer as createTlsServer } from 'node:tls'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { encodePeerError } from './encode-peer-error.js'
import { PeerAddress } from './peer-address.js'
import { PeerLimits } from './peer-limits.js'
import type { PeerServerOptions } from './peer-server-options.js'
import { readLines } from './read-lines.js'

/** Serves JSON-RPC 2.0 calls of other routers over TCP or TLS, framed as one JSON value per line. */
export class PeerServer {
  private readonly _options: PeerServerOptions
  private readonly _server: Server
  private readonly _sockets = new Set<Socket>()

  /**
   * @param options address, methods, access control, clock, event log and traffic counter
   * @throws {MimosarockError} PLAIN_TEXT_REFUSED if it would serve plain text on an address other than loopback
   */
  constructor (options: PeerServerOptions) {
    this._options = options
    new PeerAddress(options.address).requireProtection(options.access)
    this._server = this._create()
  }

  /**
   * Starts listening.
   * @returns the IP address and the actual port
   * @throws {MimosarockError} ADDRESS_IN_USE if the address cannot be bound
   */
  async listen (): Promise<string> {
    const address = new PeerAddress(this._options.address)
    await new Promise<void>((resolve, reject) => {
      this._server.once('error', (cause) => {
        reject(new MimosarockError(ResultCode.ADDRESS_IN_USE, `cannot listen on ${this._options.address}`, { cause }))
      })
      this._server.listen(address.port, address.host, resolve)
    })
    const port = (this._server.address() as AddressInfo).port
    return address.host.includes(':') ? `[${address.host}]:${port}` : `${address.host}:${port}`
  }

  /** Stops listening and closes every connection. */
  async close (): Promise<void> {
    const closed = new Promise<void>((resolve) => this._server.close(() => resolve()))
    for (const socket of this._sockets) socket.destroy()
    await closed
  }

  private _create (): Server {
    const tls = this._options.access.tls
    const accept = (socket: Socket): void => { this._serve(socket) }
    if (tls === undefined) return createServer({ noDelay: true }, accept)
    const options = { cert: tls.certificate, key: tls.key, ca: tls.authority, requestCert: true, rejectUnauthorized: true, noDelay: true }
    return createTlsServer(options, accept)
  }

  private async _serve (socket: Socket): Promise<void> {
    this._sockets.add(socket)
    this._options.traffic.watch(socket)
    socket.on('error', () => socket.destroy())
    socket.setTimeout(PeerLimits.AUTHENTICATION_MS, () => socket.destroy())
    try {
      const lines = readLines(socket, PeerLimits.LINE_BYTES)
      await this._authenticate(lines)
      socket.setTimeout(PeerLimits.SERVER_SILENCE_MS)
      let inFlight = 0
      for await (const line of lines) {
        if (inFlight >= PeerLimits.CALLS_IN_FLIGHT) throw new MimosarockError(ResultCode.OVERLOADED, 'too many concurrent calls on one connection')
        inFlight += 1
        this._handleLine(socket, line).finally(() => { inFlight -= 1 })
      }
    } catch (error) {
      if (error instanceof MimosarockError) this._sendError(socket, error)
    } finally {
      this._sockets.delete(socket)
      socket.destroySoon()
    }
  }

  /** Checks the token in the first line of a connection, if the fleet uses a token. */
  private async _authenticate (lines: AsyncGenerator<string>): Promise<void> {
    const token = this._options.access.token
    if (token === undefined) return
    const first = await lines.next()
    if (first.done === true) return
    const presented = this._readToken(first.value)
    // Compares digests of equal length in constant time, which reveals neither the token nor its length.
    const isValid = timingSafeEqual(digest(presented), digest(token))
    if (!isValid) throw new MimosarockError(ResultCode.UNAUTHENTICATED, 'the peer did not present a valid token')
  }

  private _readToken (line: string): string {
    try {
      const request = JSON.parse(line)
      return request.method === 'authenticate' ? String(request.params?.[0]) : ''
    } catch {
      return ''
    }
  }

  private async _handleLine (socket: Socket, line: string): Promise<void> {
    try {
      const response = await this._options.methods.handleLine(line)
      if (response !== undefined && socket.writable) socket.write(JSON.stringify(response) + '\n')
    } catch (error) {
      if (error instanceof MimosarockError) this._sendError(socket, error)
      socket.destroySoon()
    }
  }

  private _sendError (socket: Socket, error: MimosarockError): void {
    this._options.eventLog.warn('peer-refused', { peer: socket.remoteAddress, code: error.code, reason: error.message })
    if (socket.writable) socket.write(JSON.stringify(encodePeerError(null, error)) + '\n')
  }
}

function digest (text: string): Buffer {
  return createHash('sha256').update(text).digest()
}
