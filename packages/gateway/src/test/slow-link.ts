import { once } from 'node:events'
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'

const SLICE_MS = 10
const MS_PER_SECOND = 1_000

/** TCP proxy on the loopback interface that passes on responses at a limited rate, which all of its connections share. */
export class SlowLink {
  private readonly _server: Server
  private readonly _sockets = new Set<Socket>()
  private readonly _sliceBytes: number
  private _sending: Promise<void> = Promise.resolve()

  /**
   * @param port returns the port of the server behind the link
   * @param bytesPerSecond rate of the link
   */
  constructor (port: () => number, bytesPerSecond: number) {
    this._sliceBytes = Math.ceil(bytesPerSecond * SLICE_MS / MS_PER_SECOND)
    this._server = createServer((near) => this._relay(near, connect(port(), '127.0.0.1')))
  }

  /** Starts the proxy and returns its address, host:port. */
  async start (): Promise<string> {
    this._server.listen(0, '127.0.0.1')
    await once(this._server, 'listening')
    return `127.0.0.1:${(this._server.address() as AddressInfo).port}`
  }

  /** Closes the proxy and its connections. */
  close (): void {
    this._server.close()
    for (const socket of this._sockets) socket.destroy()
  }

  private _relay (near: Socket, far: Socket): void {
    for (const [socket, other] of [[near, far], [far, near]] as const) {
      this._sockets.add(socket)
      socket.on('error', () => undefined)
      socket.on('close', () => other.destroy())
    }
    near.pipe(far)
    far.on('data', (bytes: Buffer) => {
      far.pause()
      this._sending = this._sending.then(async () => {
        await this._send(near, bytes)
        far.resume()
      })
    })
  }

  private async _send (socket: Socket, bytes: Buffer): Promise<void> {
    for (let position = 0; position < bytes.length && !socket.destroyed; position += this._sliceBytes) {
      socket.write(bytes.subarray(position, position + this._sliceBytes))
      await sleep(SLICE_MS)
    }
  }
}
