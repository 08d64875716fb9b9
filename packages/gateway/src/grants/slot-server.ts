import type { IncomingMessage, Server } from 'node:http'
import { Socket } from 'node:net'
import type { Duplex } from 'node:stream'
import { LineSplitter } from '@mimosarock/coordination/http/line-splitter.js'
import { pause } from '../membership/pause.js'
import { LineWriter } from './line-writer.js'
import type { SlotOwners } from './slot-owners.js'
import { SlotProtocol } from './slot-protocol.js'
import { SlotServerConnection } from './slot-server-connection.js'

/** Interval at which grants and requests whose time is over are looked for while there are any, in milliseconds. */
const SWEEP_INTERVAL_MS = 20
/** Idle time after which a connection is probed, in milliseconds. */
const KEEP_ALIVE_MS = 10_000
/** Number of bytes that may wait to be read by a router before its connection is closed; that is some thousands of messages. */
const MAXIMUM_UNREAD_BYTES = 1_048_576

/** Accepts connections of other routers that ask for slots. */
export class SlotServer {
  private readonly _owners: SlotOwners
  private readonly _sockets = new Set<Duplex>()
  private _isSweeping = false
  private _isClosed = false

  /**
   * @param owners services whose slots this router owns
   */
  constructor (owners: SlotOwners) {
    this._owners = owners
    owners.onWork(() => this._startSweeping())
  }

  /**
   * Accepts upgrades of connections to an HTTP server.
   * @param server server at the address for calls between routers
   */
  attach (server: Server): void {
    server.on('upgrade', (request, socket, head) => this._accept(request, socket, head))
  }

  /** Closes all connections. */
  close (): void {
    this._isClosed = true
    for (const socket of this._sockets) socket.destroy()
  }

  private _accept ({ url, headers }: IncomingMessage, socket: Duplex, head: Buffer): void {
    // Node.js removes its own listener when it hands over the socket; an error without a listener would end the process.
    socket.on('error', () => undefined)
    if (url !== SlotProtocol.PATH || headers.upgrade !== SlotProtocol.NAME || this._isClosed) {
      socket.end('HTTP/1.1 404 Not Found\r\nconnection: close\r\ncontent-length: 0\r\n\r\n')
      return
    }
    this._sockets.add(socket)
    if (socket instanceof Socket) {
      socket.setNoDelay(true)
      // A router whose VM is gone does not close its connection.
      socket.setKeepAlive(true, KEEP_ALIVE_MS)
    }
    const reader = new LineSplitter(SlotProtocol.MAXIMUM_LINE_BYTES)
    const writer = new LineWriter((text) => {
      socket.write(text)
      if (socket.writableLength > MAXIMUM_UNREAD_BYTES) socket.destroy()
    }, setImmediate)
    const connection = new SlotServerConnection(this._owners, writer, String(headers[SlotProtocol.ROUTER_HEADER] ?? 'unknown'))
    socket.write(`HTTP/1.1 101 Switching Protocols\r\nconnection: upgrade\r\nupgrade: ${SlotProtocol.NAME}\r\n\r\n`)
    socket.on('close', () => {
      this._sockets.delete(socket)
      connection.end()
    })
    socket.on('end', () => socket.end())
    socket.on('data', (chunk: Buffer) => {
      const lines = reader.push(chunk)
      if (lines?.every((line) => connection.receive(line)) === true) return
      socket.removeAllListeners('data')
      writer.flush()
      socket.end()
    })
    if (head.length > 0) socket.unshift(head)
  }

  private _startSweeping (): void {
    if (this._isSweeping) return
    this._isSweeping = true
    this._sweep().catch(() => undefined)
  }

  private async _sweep (): Promise<void> {
    try {
      while (this._owners.hasWork) {
        await pause(SWEEP_INTERVAL_MS)
        this._owners.sweep()
      }
    } finally {
      this._isSweeping = false
    }
  }
}
