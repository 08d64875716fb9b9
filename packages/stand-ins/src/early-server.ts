import { once } from 'node:events'
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import type { EarlyServerOptions } from './early-server-options.js'
import { ResponseEnding } from './response-ending.js'

const HEAD_END = '\r\n\r\n'

/** Server that answers each request before it has received it to its end, and then ends the connection. */
export class EarlyServer {
  private readonly _server: Server
  private readonly _options: EarlyServerOptions
  private readonly _sockets = new Set<Socket>()
  private _answers = 0

  private constructor (options: EarlyServerOptions) {
    this._options = options
    this._server = createServer({ allowHalfOpen: true }, (socket) => this._serve(socket))
  }

  /**
   * Starts a server on a free port of the loopback interface.
   * @param options when the server answers, what, and how its connection ends
   */
  static async start (options: EarlyServerOptions): Promise<EarlyServer> {
    const server = new EarlyServer(options)
    server._server.listen(0, '127.0.0.1')
    await once(server._server, 'listening')
    return server
  }

  /** Address of the server, host:port. */
  get address (): string {
    return `127.0.0.1:${(this._server.address() as AddressInfo).port}`
  }

  /** Number of requests that were answered. */
  get answers (): number {
    return this._answers
  }

  /** Stops the server. */
  close (): void {
    for (const socket of this._sockets) socket.destroy()
    this._server.close()
  }

  private _serve (socket: Socket): void {
    this._sockets.add(socket)
    socket.on('error', () => undefined)
    socket.on('close', () => this._sockets.delete(socket))
    let head = ''
    let receivedBytes = 0
    const receive = (chunk: Buffer): void => {
      receivedBytes += chunk.length
      if (!head.includes(HEAD_END)) head += chunk.toString('latin1')
      if (!head.includes(HEAD_END) || receivedBytes < this._options.afterBytes) return
      socket.off('data', receive)
      this._answer(socket, head)
    }
    socket.on('data', receive)
  }

  private _answer (socket: Socket, head: string): void {
    const { answer, readsOn, delayMs } = this._options
    this._answers += 1
    if (readsOn) socket.resume()
    else socket.pause()
    socket.write(answer(head), 'latin1')
    setTimeout(() => this._end(socket), delayMs)
  }

  private _end (socket: Socket): void {
    const { ending } = this._options
    if (ending === ResponseEnding.RESET) socket.resetAndDestroy()
    else if (ending === ResponseEnding.CLOSE) socket.destroy()
    else if (ending === ResponseEnding.END) socket.end()
  }
}
