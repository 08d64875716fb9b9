import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { PortReservation } from './port-reservation.js'
import { sendJson } from './send-json.js'
import type { StandInHandler } from './stand-in-handler.js'

const LOOPBACK = '127.0.0.1'

/** HTTP server of a stand-in, on a loopback port assigned by the operating system. */
export class StandInServer {
  private readonly _server: Server
  private readonly _sockets = new Set<Socket>()
  private readonly _silenced = new WeakSet<Socket>()
  private _reservation: PortReservation | undefined

  /**
   * @param handler handles the requests
   */
  constructor (handler: StandInHandler) {
    this._server = createServer((request, response) => {
      this._handle(handler, request, response)
    })
    // Timeouts are disabled because a silenced connection must stay open.
    this._server.keepAliveTimeout = 0
    this._server.headersTimeout = 0
    this._server.requestTimeout = 0
    this._server.on('connection', (socket) => {
      this._sockets.add(socket)
      socket.setNoDelay(true)
      socket.on('close', () => this._sockets.delete(socket))
    })
  }

  /** IP address and port; the port is 0 before the first start. */
  get address (): string {
    return `${LOOPBACK}:${this._reservation?.port ?? 0}`
  }

  /** Base URL; valid once started. */
  get url (): string {
    return `http://${this.address}`
  }

  /** Number of open connections. */
  get connectionCount (): number {
    return this._sockets.size
  }

  /** Starts listening. A restarted server listens on the same port. */
  async start (): Promise<void> {
    const { port } = this._reservation ??= await PortReservation.create()
    await new Promise<void>((resolve, reject) => {
      this._server.once('error', reject)
      this._server.listen(port, LOOPBACK, () => {
        this._server.off('error', reject)
        resolve()
      })
    })
  }

  /** Stops listening and closes all connections. */
  async stop (): Promise<void> {
    if (!this._server.listening) return
    await new Promise<void>((resolve) => {
      this._server.close(() => resolve())
      this.breakConnections()
    })
  }

  /** Closes all open connections; new connections are accepted. */
  breakConnections (): void {
    for (const socket of this._sockets) socket.destroy()
  }

  /**
   * Permanently discards all further output of every open connection without closing it, as a network partition does.
   * New connections work normally.
   * @returns number of silenced connections
   */
  silenceConnections (): number {
    for (const socket of this._sockets) {
      this._silenced.add(socket)
      // Corking is not sufficient, because the end of a response uncorks its socket.
      socket._write = (_chunk, _encoding, done) => done()
      socket._writev = (_chunks, done) => done()
      socket._final = (done) => done()
    }
    return this._sockets.size
  }

  /**
   * Returns whether the connection of a request has been silenced. Such a request must have no effect.
   * @param request HTTP request
   */
  isSilenced (request: IncomingMessage): boolean {
    return this._silenced.has(request.socket)
  }

  private async _handle (handler: StandInHandler, request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (this.isSilenced(request)) return
    try {
      await handler(request, response)
    } catch (error) {
      if (response.headersSent) response.destroy()
      else sendJson(response, 500, { error: String(error) })
    }
  }
}
