import { connect, createServer } from 'node:net'
import { listen } from './listen.mjs'

/**
 * A link to one address, which can be cut without a sign of it: while it is cut, no byte passes in either direction, on open connections
 * and on new ones alike. What was sent meanwhile passes when the cut has healed.
 */
export class Link {
  _sockets = new Set()
  _isCut = false

  /**
   * @param port port on 127.0.0.1 to which the link leads
   */
  constructor (port) {
    this._port = port
    this._server = createServer((near) => this._accept(near))
  }

  /** Starts the link; returns its port. */
  async start () {
    return await listen(this._server)
  }

  /** Whether a connection with this port at its far end belongs to the link. */
  hasLocalPort (port) {
    return [...this._sockets].some((socket) => socket.localPort === port)
  }

  cut () {
    this._isCut = true
    for (const socket of this._sockets) socket.pause()
  }

  heal () {
    this._isCut = false
    for (const socket of this._sockets) socket.resume()
  }

  _accept (near) {
    const far = connect(this._port, '127.0.0.1')
    this._join(near, far)
    this._join(far, near)
  }

  _join (socket, other) {
    this._sockets.add(socket)
    socket.setNoDelay(true)
    socket.on('data', (chunk) => other.write(chunk))
    socket.on('end', () => other.end())
    socket.on('error', () => undefined)
    socket.on('close', () => {
      this._sockets.delete(socket)
      if (!this._isCut) other.destroy()
    })
    if (this._isCut) socket.pause()
  }
}
