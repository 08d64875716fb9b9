import type { PeerMessenger } from '../peer-messenger.js'
import { PeerConnection } from './peer-connection.js'
import type { PeerConnectionsOptions } from './peer-connections-options.js'

/**
 * Calls other routers over one persistent connection per peer, opened on demand.
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
   * @param options methods, access control, clock, event log and traffic counter shared by all connections
   */
  constructor (options: PeerConnectionsOptions) {
    this._options = options
  }

  /** Number of connections that are open or being opened. */
  get openCount (): number {
    return this._connections.size
  }

  /**
   * Calls a method of a router. Closes the connection if the call times out and nothing has arrived meanwhile.
   * @param peerAddress IP address and port of the router's JSON-RPC 2.0 server
   * @param method dotted method name
   * @param params JSON value
   * @param timeoutMs timeout of the whole call, in milliseconds
   * @returns the method's JSON result
   * @throws {MimosarockError} PEER_UNREACHABLE (not run), PEER_TIMEOUT (run state unknown), PLAIN_TEXT_REFUSED,
   * or the code of the method's error
   */
  async call (peerAddress: string, method: string, params: unknown, timeoutMs: number): Promise<unknown> {
    return await this._connectionTo(peerAddress).call(method, params, timeoutMs)
  }

  /**
   * Registers the handler of a method that peers may call at this router.
   * @param method dotted method name
   * @param handler receives the params, not validated, and returns the JSON result
   */
  handle (method: string, handler: (params: unknown) => unknown | Promise<unknown>): void {
    this._options.methods.handle(method, handler)
  }

  /** Closes every connection. Calls in flight fail with PEER_TIMEOUT. */
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
