import { connect, createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'
import { PeerLimits } from '../membership/peer-limits.js'
import { readLines } from '../membership/read-lines.js'

/** What happens to one line on its way; undefined lets it pass, `lost` drops it, a promise holds it back. */
type LineFault = undefined | 'lost' | Promise<void>

/** Stands between routers and one router's peer server, and loses or holds back lines. */
export class FaultRelay {
  /** Decides on each line; gets the id of the calling router if it is known, else an empty text. */
  fault: (source: string) => LineFault = () => undefined
  /** Where the router listens; may change when it restarts. */
  target = ''
  private readonly _server: Server
  private readonly _sockets = new Set<Socket>()
  private _silenced = new WeakSet<Socket>()

  constructor () {
    this._server = createServer((socket) => { this._serve(socket) })
  }

  /** Starts to listen and gives the address. */
  async listen (): Promise<string> {
    await new Promise<void>((resolve) => this._server.listen(0, '127.0.0.1', resolve))
    return `127.0.0.1:${(this._server.address() as AddressInfo).port}`
  }

  /** Lets no further line pass on the connections that are open now, without closing them. */
  silenceConnections (): void {
    for (const socket of this._sockets) this._silenced.add(socket)
  }

  async close (): Promise<void> {
    const closed = new Promise<void>((resolve) => this._server.close(() => resolve()))
    for (const socket of this._sockets) socket.destroy()
    await closed
  }

  private async _serve (near: Socket): Promise<void> {
    const [host, port] = this.target.split(':')
    const far = connect({ host, port: Number(port), noDelay: true })
    const caller = { id: '' }
    for (const socket of [near, far]) {
      this._sockets.add(socket)
      socket.on('error', () => socket.destroy())
      socket.on('close', () => this._sockets.delete(socket))
    }
    await Promise.allSettled([this._pass(near, far, caller, true), this._pass(far, near, caller, false)])
    near.destroy()
    far.destroy()
  }

  private async _pass (from: Socket, to: Socket, caller: { id: string }, calls: boolean): Promise<void> {
    for await (const line of readLines(from, PeerLimits.LINE_BYTES)) {
      if (calls && caller.id === '') caller.id = callerOf(line)
      const fault = this.fault(caller.id)
      if (fault === 'lost' || this._silenced.has(from)) continue
      await fault
      if (to.writable) to.write(line + '\n')
    }
    to.end()
  }
}

/** Heartbeats, comparisons and offers begin with the caller's id or its record. */
function callerOf (line: string): string {
  const { params } = JSON.parse(line)
  const first = Array.isArray(params) ? params[0] : undefined
  return String(Array.isArray(first) ? first[0] : first ?? '')
}
