import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import { sendJson } from './send-json.js'
import type { StandInHandler } from './stand-in-handler.js'

const LOOPBACK = '127.0.0.1'

/** HTTP server of a stand-in, on a loopback port that the system picks. */
export class StandInServer {
  private readonly _server: Server
  private readonly _sockets = new Set<Socket>()
  private readonly _silenced = new WeakSet<Socket>()
  private _port = 0

  /**
   * @param handler answers the requests
   */
  constructor (handler: StandInHandler) {
    this._server = createServer((request, response) => {
      this._handle(handler, request, response)
    })
    // A silenced connection must stay open, so the server closes none on its own.
    this._server.keepAliveTimeout = 0
    this._server.headersTimeout = 0
    this._server.requestTimeout = 0
    this._server.on('connection', (socket) => {
      this._sockets.add(socket)
      socket.setNoDelay(true)
      socket.on('close', () => this._sockets.delete(socket))
    })
  }

  /** IP number and port; the port is 0 before the first start. */
  get address (): string {
    return `${LOOPBACK}:${this._port}`
  }

  /** Base URL. */
  get url (): string {
    return `http://${this.address}`
  }

  /** Open connections. */
  get connectionCount (): number {
    return this._sockets.size
  }

  /** Listens; a later start takes the same port again. */
  async start (): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this._server.once('error', reject)
      this._server.listen(this._port, LOOPBACK, () => {
        this._server.off('error', reject)
        resolve()
      })
    })
    this._port = (this._server.address() as AddressInfo).port
  }

  /** Closes the port and every connection. */
  async stop (): Promise<void> {
    if (!this._server.listening) return
    await new Promise<void>((resolve) => {
      this._server.close(() => resolve())
      this.breakConnections()
    })
  }

  /** Closes every open connection; new ones work. */
  breakConnections (): void {
    for (const socket of this._sockets) socket.destroy()
  }

  /**
   * Makes every open connection carry no more bytes for good, without closing it; new ones work.
   * @returns how many connections were silenced
   */
  silenceConnections (): number {
    for (const socket of this._sockets) {
      this._silenced.add(socket)
      // Corking would not do: the end of an answer uncorks its socket.
      socket._write = (_chunk, _encoding, done) => done()
      socket._writev = (_chunks, done) => done()
      socket._final = (done) => done()
    }
    return this._sockets.size
  }

  /**
   * Whether the request's connection has been silenced; nothing of it counts as received then.
   * @param request the request
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
