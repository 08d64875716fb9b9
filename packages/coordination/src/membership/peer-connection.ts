import { connect } from 'node:net'
import type { Socket } from 'node:net'
import { connect as connectTls } from 'node:tls'
import { once } from 'node:events'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { RunState } from '@mimosarock/schema/run-state.js'
import { decodePeerError } from './decode-peer-error.js'
import { PeerAddress } from './peer-address.js'
import type { PeerConnectionsOptions } from './peer-connections-options.js'
import { PeerLimits } from './peer-limits.js'
import { PendingCalls } from './pending-calls.js'
import { readLines } from './read-lines.js'

/**
 * One connection to one router, used once: it is opened, serves calls, and ends when it breaks, falls silent
 * or is idle. It is never trusted for being open: it counts as silent when nothing arrives while an answer is due.
 */
export class PeerConnection {
  private readonly _peerAddress: string
  private readonly _options: PeerConnectionsOptions
  private readonly _ended = new AbortController()
  private readonly _pending: PendingCalls
  private readonly _opened: Promise<Socket>
  private _lastReceivedAt: number
  private _lastCallAt: number

  /**
   * @param peerAddress IP number and port of the router's json-rpc-2.0 server
   * @param options what the connections work with
   */
  constructor (peerAddress: string, options: PeerConnectionsOptions) {
    this._peerAddress = peerAddress
    this._options = options
    this._pending = new PendingCalls()
    this._lastReceivedAt = options.clock.now()
    this._lastCallAt = this._lastReceivedAt
    this._opened = this._open()
    this._opened.catch(() => {})
  }

  /** Whether it has ended; a new one is needed for further calls. */
  get closed (): boolean {
    return this._ended.signal.aborted
  }

  /** Ends the connection; calls in flight fail with PEER_TIMEOUT, run state unknown. */
  close (): void {
    this._ended.abort()
  }

  /** Opens the connection, reads answers and pings the peer until the connection ends. */
  async run (): Promise<void> {
    let opened = false
    try {
      const socket = await this._opened
      opened = true
      this._pingWhenQuiet()
      for await (const line of readLines(socket, PeerLimits.LINE_BYTES)) this._receive(line)
    } catch (error) {
      // Whoever asked for a connection that could not be opened is told so; most hints of discovery lead nowhere.
      if (opened) this._options.eventLog.info('peer-connection-failed', { peer: this._peerAddress, error: String(error) })
    } finally {
      this._ended.abort()
      this._pending.failAll(new MimosarockError(ResultCode.PEER_TIMEOUT, `the connection to ${this._peerAddress} ended`, { run: RunState.UNKNOWN }))
    }
  }

  /**
   * Calls a method.
   * @param method dotted method name
   * @param params JSON value
   * @param timeoutMs bound on the whole call, in milliseconds
   */
  async call (method: string, params: unknown, timeoutMs: number): Promise<unknown> {
    const finished = new AbortController()
    try {
      const askedAt = this._options.clock.now()
      this._lastCallAt = askedAt
      const timeout = this._options.clock.sleep(timeoutMs, finished.signal).then(() => undefined)
      const socket = await Promise.race([this._opened, timeout])
      if (socket === undefined || this.closed) throw this._unreachable()
      const call = this._pending.add(method, params)
      socket.write(call.line)
      const answered = await Promise.race([call.answer, timeout])
      if (answered !== undefined) return answered.result
      this._pending.forget(call.id)
      // Other answers since then show that the connection works and only this method is slow.
      if (this._lastReceivedAt < askedAt) this._throwAway()
      throw new MimosarockError(ResultCode.PEER_TIMEOUT, `${method} at ${this._peerAddress} took over ${timeoutMs} ms`, { run: RunState.UNKNOWN })
    } finally {
      finished.abort()
    }
  }

  private async _open (): Promise<Socket> {
    const address = new PeerAddress(this._peerAddress)
    const access = this._options.access
    address.requireProtection(access)
    const tls = access.tls
    const socket = tls === undefined
      ? connect({ host: address.host, port: address.port, noDelay: true })
      : connectTls({ host: address.host, port: address.port, cert: tls.certificate, key: tls.key, ca: tls.authority, rejectUnauthorized: true, checkServerIdentity: () => undefined })
    this._options.traffic.watch(socket)
    socket.on('error', () => {})
    this._ended.signal.addEventListener('abort', () => socket.destroy(), { once: true })
    const bound = AbortSignal.any([this._ended.signal, AbortSignal.timeout(PeerLimits.CONNECT_MS)])
    try {
      await once(socket, tls === undefined ? 'connect' : 'secureConnect', { signal: bound })
    } catch (cause) {
      socket.destroy()
      this._ended.abort()
      throw this._unreachable(cause)
    }
    socket.setNoDelay(true)
    if (access.token !== undefined) socket.write(JSON.stringify({ jsonrpc: '2.0', method: 'authenticate', params: [access.token] }) + '\n')
    return socket
  }

  private _receive (line: string): void {
    this._lastReceivedAt = this._options.clock.now()
    const answer = JSON.parse(line)
    if (answer.id === null && answer.error !== undefined) throw decodePeerError(answer.error)
    this._pending.settle(answer)
  }

  /** Second task of the connection: finds out whether a quiet connection still works. */
  private async _pingWhenQuiet (): Promise<void> {
    const clock = this._options.clock
    while (!this.closed) {
      await clock.sleep(PeerLimits.PING_INTERVAL_MS, this._ended.signal)
      if (this.closed) return
      const idleMs = clock.now() - this._lastCallAt
      if (idleMs > PeerLimits.IDLE_MS) {
        this.close()
        return
      }
      if (clock.now() - this._lastReceivedAt < PeerLimits.PING_INTERVAL_MS) continue
      await this._ping()
    }
  }

  private async _ping (): Promise<void> {
    const lastCallAt = this._lastCallAt
    try {
      await this.call('ping', [], PeerLimits.PING_TIMEOUT_MS)
    } catch {
      this._throwAway()
    }
    // A ping is no use of the connection.
    this._lastCallAt = lastCallAt
  }

  private _throwAway (): void {
    if (this.closed) return
    this._options.eventLog.info('peer-connection-silent', { peer: this._peerAddress })
    this.close()
  }

  private _unreachable (cause?: unknown): MimosarockError {
    return new MimosarockError(ResultCode.PEER_UNREACHABLE, `no connection to ${this._peerAddress}`, { cause })
  }
}
