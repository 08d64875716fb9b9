import { connect, createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'
import { PeerLimits } from '../membership/peer-limits.js'
import { readLines } from '../membership/read-lines.js'

/** Fault injected into one line: undefined forwards it, `lost` drops it, a promise delays it until it resolves. */
type LineFault = undefined | 'lost' | Promise<void>

/** TCP relay in front of one router's peer server that drops or delays lines. */
export class FaultRelay {
  /** Chooses the fault for each line; receives the id of the calling router, or an empty string if it is not known yet. */
  fault: (source: string) => LineFault = () => undefined
  /** Address of the router's peer server; changes when the router restarts. */
  target = ''
  private readonly _server: Server
  private readonly _sockets = new Set<Socket>()
  private _silenced = new WeakSet<Socket>()

  constructor () {
    this._server = createServer((socket) => { this._serve(socket) })
  }

  /** Starts listening and returns the address. */
  async listen (): Promise<string> {
    await new Promise<void>((resolve) => this._server.listen(0, '127.0.0.1', resolve))
    return `127.0.0.1:${(this._server.address() as AddressInfo).port}`
  }

  /** Drops all further lines on the connections that are open now, without closing them. */
  silenceConnections (): void {
    for (const socket of this._sockets) this._silenced.add(socket)
  }

  async close (): Promise<void> {
    const closed = new Promise<void>((resolve) => this._server.close(() => resolve()))
    for (const socket of this._sockets) socket.destroy()
    await closed
  }

  private async _serve (callerSocket: Socket): Promise<void> {
    const [host, port] = this.target.split(':')
    const routerSocket = connect({ host, port: Number(port), noDelay: true })
    const caller = { id: '' }
    for (const socket of [callerSocket, routerSocket]) {
      this._sockets.add(socket)
      socket.on('error', () => socket.destroy())
      socket.on('close', () => this._sockets.delete(socket))
    }
    await Promise.allSettled([this._forwardLines(callerSocket, routerSocket, caller, true), this._forwardLines(routerSocket, callerSocket, caller, false)])
    callerSocket.destroy()
    routerSocket.destroy()
  }

  private async _forwardLines (from: Socket, to: Socket, caller: { id: string }, isCallerSide: boolean): Promise<void> {
    for await (const line of readLines(from, PeerLimits.LINE_BYTES)) {
      if (isCallerSide && caller.id === '') caller.id = callerIdOf(line)
      const fault = this.fault(caller.id)
      if (fault === 'lost' || this._silenced.has(from)) continue
      await fault
      if (to.writable) to.write(line + '\n')
    }
    to.end()
  }
}

/** Returns the caller's id, which is the first param of heartbeats and offers, or the first field of the first param of comparisons. */
function callerIdOf (line: string): string {
  const { params } = JSON.parse(line)
  const first = Array.isArray(params) ? params[0] : undefined
  return String(Array.isArray(first) ? first[0] : first ?? '')
}
