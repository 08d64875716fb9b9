import { once } from 'node:events'
import { createServer, type Server as NetworkServer, type Socket } from 'node:net'
import type { Server } from 'node:http'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'

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

  private _address = ''
  private _listening: Promise<unknown> = Promise.resolve()

  /** Network server that listens at the callers' address. */
  get server (): NetworkServer {
    return this._server
  }

  /**
   * Starts to listen and returns at once. A failure to listen is reported by `handOver`.
   * @param address address to listen on, host:port
   */
  listen (address: string): void {
    const colon = address.lastIndexOf(':')
    this._address = address
    this._listening = once(this._server, 'listening')
    // handOver() reports the error, and may be called long after it.
    this._listening.catch(() => undefined)
    // A failed accept must not end the process.
    this._server.on('error', () => undefined)
    this._server.listen({ host: address.slice(0, colon), port: Number(address.slice(colon + 1)), backlog: BACKLOG })
  }

  /**
   * Hands the listening socket and the connections accepted so far over to an HTTP server.
   * @param server HTTP server that does not listen yet
   * @throws MimosarockError if listening at the address failed
   */
  async handOver (server: Server): Promise<void> {
    await this._waitUntilListening()
    server.listen(this._server, BACKLOG)
    await once(server, 'listening')
    for (const socket of this._acceptedSockets.splice(0)) {
      server.emit('connection', socket)
      socket.resume()
    }
  }

  private async _waitUntilListening (): Promise<void> {
    try {
      await this._listening
    } catch (error) {
      throw new MimosarockError(ResultCode.ADDRESS_IN_USE, `cannot listen on ${this._address}`, { cause: error, field: this._address })
    }
  }
}
