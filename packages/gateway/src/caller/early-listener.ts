import { once } from 'node:events'
import { createServer, type Server as NetworkServer, type Socket } from 'node:net'
import type { Server } from 'node:http'

/** Connections that wait to be accepted; above what a burst opens within one turn of the event loop. */
const BACKLOG = 1_024

/**
 * Takes callers' connections before the rest of the router is loaded: without a listener each of them would be
 * refused during the start. Nothing is read until the connections are handed over.
 */
export class EarlyListener {
  private readonly _waiting: Socket[] = []
  private readonly _server: NetworkServer = createServer(
    { allowHalfOpen: true, noDelay: true, pauseOnConnect: true },
    (socket) => this._waiting.push(socket)
  )

  /** The listening server. */
  get server (): NetworkServer {
    return this._server
  }

  /**
   * Begins to listen.
   * @param address host:port
   */
  listen (address: string): void {
    const colon = address.lastIndexOf(':')
    // A failure is reported when the listener is handed over.
    this._server.on('error', () => undefined)
    this._server.listen({ host: address.slice(0, colon), port: Number(address.slice(colon + 1)), backlog: BACKLOG })
  }

  /**
   * Lets an HTTP server take over the address and the connections that wait.
   * @param server that does not listen yet
   * @throws Error if the address can't be listened at
   */
  async handOver (server: Server): Promise<void> {
    if (!this._server.listening) await once(this._server, 'listening')
    server.listen(this._server, BACKLOG)
    await once(server, 'listening')
    for (const socket of this._waiting.splice(0)) {
      server.emit('connection', socket)
      socket.resume()
    }
  }
}
