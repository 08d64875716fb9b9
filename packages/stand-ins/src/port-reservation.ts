import { once } from 'node:events'
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net'

const LOOPBACK = '127.0.0.1'

/**
 * Keeps a TCP port of the loopback interface for servers that listen there later, also several times in turn. Until then, connections to it are
 * refused.
 *
 * The port is the local one of an open connection. The operating system gives it to nobody who asks for any free port, while a
 * server that asks for this one may listen, since both sockets allow the reuse of their address. A reservation does not keep its process running.
 */
export class PortReservation {
  private readonly _server: Server
  private readonly _socket: Socket

  private constructor (server: Server, socket: Socket) {
    this._server = server
    this._socket = socket
  }

  /** Reserves a free port. */
  static async create (): Promise<PortReservation> {
    const server = createServer((socket) => socket.on('error', () => undefined).unref()).listen(0, LOOPBACK)
    await once(server, 'listening')
    server.unref()
    const { port } = server.address() as AddressInfo
    const socket = connect({ host: LOOPBACK, port, localAddress: LOOPBACK })
    socket.on('error', () => undefined)
    await once(socket, 'connect')
    socket.unref()
    return new PortReservation(server, socket)
  }

  /** The reserved port. */
  get port (): number {
    return this._socket.localPort as number
  }

  /** Frees the port. */
  release (): void {
    this._socket.destroy()
    this._server.close()
  }
}
