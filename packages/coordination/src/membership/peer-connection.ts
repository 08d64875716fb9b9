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
 * A connection to one router. It is opened once, carries any number of calls, and ends when it fails, becomes
 * unresponsive or is idle. An open socket is no proof of a working connection: the connection is closed as unresponsive
 * if nothing arrives while a response is due.
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
   * Starts to open the connection.
   * @param peerAddress IP address and port of the router's JSON-RPC 2.0 server
   * @param options access control, clock, event log and traffic counter
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

  /** Whether the connection has ended; further calls need a new connection. */
  get closed (): boolean {
    return this._ended.signal.aborted
  }

  /** Closes the connection. Calls in flight fail with PEER_TIMEOUT and run state unknown. */
  close (): void {
    this._ended.abort()
  }

  /** Waits for the connection to open, then reads responses and pings the peer until the connection ends. */
  async run (): Promise<void> {
    let opened = false
    try {
      const socket = await this._opened
      opened = true
      this._runKeepalive()
      for await (const line of readLines(socket, PeerLimits.LINE_BYTES)) this._receive(line)
    } catch (error) {
      // A failure to connect is reported to the callers and not logged: most addresses tried by discovery are unreachable.
      if (opened) this._options.eventLog.info('peer-connection-failed', { peer: this._peerAddress, error: String(error) })
    } finally {
      this._ended.abort()
      this._pending.failAll(new MimosarockError(ResultCode.PEER_TIMEOUT, `connection to ${this._peerAddress} closed`, { run: RunState.UNKNOWN }))
    }
  }

  /**
   * Calls a method of the peer.
   * @param method dotted method name
   * @param params JSON value
   * @param timeoutMs timeout of the whole call, including the wait for the connection to open, in milliseconds
   * @returns the JSON result
   * @throws {MimosarockError} PEER_UNREACHABLE, PEER_TIMEOUT, PLAIN_TEXT_REFUSED, or the code of the method's error
   */
  async call (method: string, params: unknown, timeoutMs: number): Promise<unknown> {
    const finished = new AbortController()
    try {
      const calledAt = this._options.clock.now()
      this._lastCallAt = calledAt
      const timeout = this._options.clock.sleep(timeoutMs, finished.signal).then(() => undefined)
      const socket = await Promise.race([this._opened, timeout])
      if (socket === undefined || this.closed) throw this._unreachableError()
      const call = this._pending.add(method, params)
      socket.write(call.line)
      const response = await Promise.race([call.response, timeout])
      if (response !== undefined) return response.result
      this._pending.cancel(call.id)
      // If other responses arrived since the call started, the connection works and only this method is slow.
      if (this._lastReceivedAt < calledAt) this._closeAsUnresponsive()
      throw new MimosarockError(ResultCode.PEER_TIMEOUT, `${method} at ${this._peerAddress} timed out after ${timeoutMs} ms`, { run: RunState.UNKNOWN })
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
    const connectSignal = AbortSignal.any([this._ended.signal, AbortSignal.timeout(PeerLimits.CONNECT_MS)])
    try {
      await once(socket, tls === undefined ? 'connect' : 'secureConnect', { signal: connectSignal })
    } catch (cause) {
      socket.destroy()
      this._ended.abort()
      throw this._unreachableError(cause)
    }
    socket.setNoDelay(true)
    if (access.token !== undefined) socket.write(JSON.stringify({ jsonrpc: '2.0', method: 'authenticate', params: [access.token] }) + '\n')
    return socket
  }

  private _receive (line: string): void {
    this._lastReceivedAt = this._options.clock.now()
    const response = JSON.parse(line)
    if (response.id === null && response.error !== undefined) throw decodePeerError(response.error)
    this._pending.settle(response)
  }

  /** Pings the peer when nothing has arrived for the ping interval, and closes the connection when it is idle. */
  private async _runKeepalive (): Promise<void> {
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
      this._closeAsUnresponsive()
    }
    // Pings do not count as use of the connection.
    this._lastCallAt = lastCallAt
  }

  private _closeAsUnresponsive (): void {
    if (this.closed) return
    this._options.eventLog.info('peer-connection-silent', { peer: this._peerAddress })
    this.close()
  }

  private _unreachableError (cause?: unknown): MimosarockError {
    return new MimosarockError(ResultCode.PEER_UNREACHABLE, `cannot connect to ${this._peerAddress}`, { cause })
  }
}
