import { once } from 'node:events'
import { createServer, type Server as NetworkServer, type Socket } from 'node:net'
import type { Server } from 'node:http'

/** Backlog of connections to be accepted; larger than what a burst opens within one iteration of the event loop. */
const BACKLOG = 1_024

/**
 * Accepts callers' connections before the rest of the router is loaded; without a listener they would be refused
 * during startup. Nothing is read from a connection until it is handed over to an HTTP server.
 */
export class EarlyListener {
  private readonly _acceptedSockets: Socket[] = []
  private readonly _server: NetworkServer = createServer(
    { allowHalfOpen: true, noDelay: true, pauseOnConnect: true },
    (socket) => this._acceptedSockets.push(socket)
  )

  /** Network server that listens at the callers' address. */
  get server (): NetworkServer {
    return this._server
  }

  /**
   * Starts to listen and returns at once. A failure to listen is reported by `handOver`, if it occurs while that method waits.
   * @param address address to listen on, host:port
   */
  listen (address: string): void {
    const colon = address.lastIndexOf(':')
    // Without a handler the error would end the process; handOver() reports a failure that occurs while it waits.
    this._server.on('error', () => undefined)
    this._server.listen({ host: address.slice(0, colon), port: Number(address.slice(colon + 1)), backlog: BACKLOG })
  }

  /**
   * Hands the listening socket and the connections accepted so far over to an HTTP server.
   * @param server HTTP server that does not listen yet
   * @throws Error if listening at the address fails while this method waits for it
   */
  async handOver (server: Server): Promise<void> {
    if (!this._server.listening) await once(this._server, 'listening')
    server.listen(this._server, BACKLOG)
    await once(server, 'listening')
    for (const socket of this._acceptedSockets.splice(0)) {
      server.emit('connection', socket)
      socket.resume()
    }
  }
}
