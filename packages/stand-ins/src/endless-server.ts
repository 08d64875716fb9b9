import { once } from 'node:events'
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'

/** Bytes after which the server stops by itself, if nobody closes the connection. */
const MAXIMUM_SENT_BYTES = 120_000_000
const CHECK_INTERVAL_MS = 10

/** Server that answers each request with a text and then with another one without end, as fast as the receiver reads. */
export class EndlessServer {
  private readonly _server: Server
  private readonly _sockets: Socket[] = []

  private constructor (start: string, filler: string) {
    this._server = createServer((socket) => {
      this._sockets.push(socket)
      socket.on('error', () => undefined)
      socket.once('data', () => { sendWithoutEnd(socket, start, filler).catch(() => undefined) })
    })
  }

  /**
   * Starts a server on a free port of the loopback interface.
   * @param start text that is sent first
   * @param filler text that is sent again and again
   */
  static async start (start: string, filler: string): Promise<EndlessServer> {
    const server = new EndlessServer(start, filler)
    server._server.listen(0, '127.0.0.1')
    await once(server._server, 'listening')
    return server
  }

  /** Address of the server, host:port. */
  get address (): string {
    return `127.0.0.1:${(this._server.address() as AddressInfo).port}`
  }

  /** Waits until all connections are closed, or the server has stopped by itself. Returns the number of bytes that it has sent on the one with most. */
  async sentBytes (): Promise<number> {
    while (this._sockets.some((socket) => !socket.destroyed && socket.bytesWritten < MAXIMUM_SENT_BYTES)) await sleep(CHECK_INTERVAL_MS)
    return Math.max(0, ...this._sockets.map(({ bytesWritten }) => bytesWritten))
  }

  /** Stops the server. */
  close (): void {
    for (const socket of this._sockets) socket.destroy()
    this._server.close()
  }
}

async function sendWithoutEnd (socket: Socket, start: string, filler: string): Promise<void> {
  socket.write(start)
  while (!socket.destroyed && socket.bytesWritten < MAXIMUM_SENT_BYTES) {
    if (!socket.write(filler)) await Promise.race([once(socket, 'drain'), once(socket, 'close')])
  }
}
