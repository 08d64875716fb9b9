import type { PeerMessenger } from '../peer-messenger.js'
import { PeerConnection } from './peer-connection.js'
import type { PeerConnectionsOptions } from './peer-connections-options.js'

/**
 * Calls other routers over one persistent connection for each peer in use.
 *
 * @example
 * const methods = new PeerMethods()
 * const server = new PeerServer({ address: '127.0.0.1:0', methods, access, clock, eventLog, traffic })
 * const connections = new PeerConnections({ methods, access, clock, eventLog, traffic })
 * connections.handle('sum', (params) => (params as number[]).reduce((left, right) => left + right))
 * await connections.call(await server.listen(), 'sum', [1, 2], 500)
 */
export class PeerConnections implements PeerMessenger {
  private readonly _options: PeerConnectionsOptions
  private readonly _connections = new Map<string, PeerConnection>()

  /**
   * @param options what the connections work with
   */
  constructor (options: PeerConnectionsOptions) {
    this._options = options
  }

  /** Connections that are open or being opened. */
  get openCount (): number {
    return this._connections.size
  }

  /**
   * Calls a method at a router. A connection that stays silent during the call is thrown away.
   * @param peerAddress IP number and port of its json-rpc-2.0 server
   * @param method dotted method name
   * @param params JSON value
   * @param timeoutMs bound on the whole call, in milliseconds
   * @throws {MimosarockError} PEER_UNREACHABLE (not run), PEER_TIMEOUT (run state unknown), PLAIN_TEXT_REFUSED,
   * or the code that the method's error carries
   */
  async call (peerAddress: string, method: string, params: unknown, timeoutMs: number): Promise<unknown> {
    return await this._connectionTo(peerAddress).call(method, params, timeoutMs)
  }

  /**
   * Registers what answers a method at this router.
   * @param method dotted method name
   * @param handler gets the params and returns the JSON result
   */
  handle (method: string, handler: (params: unknown) => unknown | Promise<unknown>): void {
    this._options.methods.handle(method, handler)
  }

  /** Closes every connection; calls in flight fail. */
  close (): void {
    for (const connection of [...this._connections.values()]) connection.close()
  }

  private _connectionTo (peerAddress: string): PeerConnection {
    const known = this._connections.get(peerAddress)
    if (known !== undefined && !known.closed) return known
    const connection = new PeerConnection(peerAddress, this._options)
    this._connections.set(peerAddress, connection)
    connection.run().finally(() => {
      if (this._connections.get(peerAddress) === connection) this._connections.delete(peerAddress)
    })
    return connection
  }
}
