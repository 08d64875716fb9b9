import { once } from 'node:events'
import { request as httpRequest } from 'node:http'
import type { Socket } from 'node:net'
import type { EventLog } from '@mimosarock/coordination/event-log.js'
import { LineSplitter } from '@mimosarock/coordination/http/line-splitter.js'
import { pause } from '../membership/pause.js'
import type { RouterEntry } from '../model/router-entry.js'
import { LineWriter } from './line-writer.js'
import { SlotClientConnection } from './slot-client-connection.js'
import type { SlotLink } from './slot-link.js'
import type { SlotLinks } from './slot-links.js'
import { SlotProtocol } from './slot-protocol.js'

/** Time limit for opening a connection, in milliseconds. */
const CONNECT_TIMEOUT_MS = 450
/** Pause before a connection is opened again; doubles with each failure. */
const MINIMUM_BACKOFF_MS = 50
/** Longest pause before a connection is opened again, in milliseconds. */
const MAXIMUM_BACKOFF_MS = 1_000
/** Interval at which the wanted connections are compared with the open ones, in milliseconds. */
const CHECK_INTERVAL_MS = 250
/** Time for which a connection is kept after it was last wanted, in milliseconds: grants may be in use. */
const UNWANTED_LIFETIME_MS = 10_000

/** Connection to one router. */
interface PeerConnection {
  readonly stopping: AbortController
  wantedAt: number
  socket: Socket | undefined
  link: SlotLink | undefined
  isDown: boolean
}

/** Connections from this router to slot owners. They are opened ahead of the first request and kept open. */
export class SlotConnections implements SlotLinks {
  private readonly _router: string
  private readonly _log: EventLog
  private readonly _peers = new Map<string, PeerConnection>()

  /**
   * @param router name of this router
   * @param log logs connections that are opened and lost
   */
  constructor (router: string, log: EventLog) {
    this._router = router
    this._log = log
  }

  linkTo ({ address }: RouterEntry): SlotLink | undefined {
    return this._peers.get(address)?.link
  }

  isDown ({ address }: RouterEntry): boolean {
    return this._peers.get(address)?.isDown === true
  }

  reset ({ address }: RouterEntry): void {
    this._peers.get(address)?.socket?.destroy()
  }

  /**
   * Keeps connections open to the routers that are wanted, until aborted.
   * @param wantedRouters returns the routers to which connections are to be open
   * @param signal closes all connections
   */
  async run (wantedRouters: () => readonly RouterEntry[], signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this._keep(wantedRouters())
      await pause(CHECK_INTERVAL_MS, signal)
    }
    for (const peer of this._peers.values()) peer.stopping.abort()
  }

  private _keep (wanted: readonly RouterEntry[]): void {
    const now = performance.now()
    for (const router of wanted) {
      const peer = this._peers.get(router.address)
      if (peer === undefined) this._start(router, now)
      else peer.wantedAt = now
    }
    for (const [address, { wantedAt, stopping }] of this._peers) {
      if (now - wantedAt < UNWANTED_LIFETIME_MS) continue
      this._peers.delete(address)
      stopping.abort()
    }
  }

  private _start (router: RouterEntry, wantedAt: number): void {
    const peer: PeerConnection = { stopping: new AbortController(), wantedAt, socket: undefined, link: undefined, isDown: false }
    this._peers.set(router.address, peer)
    this._runPeer(router, peer).catch((error: Error) => this._log.warn('background-task-failed', { problem: error.stack }))
  }

  private async _runPeer (router: RouterEntry, peer: PeerConnection): Promise<void> {
    const { signal } = peer.stopping
    let backoffMs = MINIMUM_BACKOFF_MS
    while (!signal.aborted) {
      try {
        const socket = await this._connect(router.address, signal)
        backoffMs = MINIMUM_BACKOFF_MS
        await this._serve(router, peer, socket)
      } catch (error) {
        if (!peer.isDown) this._log.info('slot-owner-unreachable', { owner: router.name, problem: (error as Error).message })
      }
      peer.isDown = true
      await pause(backoffMs, signal)
      backoffMs = Math.min(MAXIMUM_BACKOFF_MS, backoffMs * 2)
    }
  }

  private async _connect (address: string, signal: AbortSignal): Promise<Socket> {
    const colon = address.lastIndexOf(':')
    const request = httpRequest({
      host: address.slice(0, colon),
      port: Number(address.slice(colon + 1)),
      path: SlotProtocol.PATH,
      headers: { connection: 'upgrade', upgrade: SlotProtocol.NAME, [SlotProtocol.ROUTER_HEADER]: this._router },
      agent: false
    })
    const stop = (): void => { request.destroy(new Error('the router stops')) }
    const timeout = setTimeout(() => request.destroy(new Error('the router does not answer')), CONNECT_TIMEOUT_MS)
    signal.addEventListener('abort', stop, { once: true })
    try {
      // The first error rejects the promise below; later ones have no other listener.
      request.on('error', () => undefined)
      request.on('response', () => request.destroy(new Error('the router does not serve slot grants')))
      request.end()
      const [, socket] = await once(request, 'upgrade') as [unknown, Socket]
      socket.setNoDelay(true)
      return socket
    } finally {
      clearTimeout(timeout)
      signal.removeEventListener('abort', stop)
    }
  }

  private async _serve (router: RouterEntry, peer: PeerConnection, socket: Socket): Promise<void> {
    const reader = new LineSplitter(SlotProtocol.MAXIMUM_LINE_BYTES)
    const writer = new LineWriter((text) => { socket.write(text) }, setImmediate)
    const connection = new SlotClientConnection(writer)
    const stop = (): void => { socket.destroy() }
    peer.stopping.signal.addEventListener('abort', stop, { once: true })
    socket.on('error', () => undefined)
    socket.on('data', (chunk: Buffer) => {
      const lines = reader.push(chunk)
      if (lines?.every((line) => connection.receive(line)) !== true) socket.destroy()
    })
    peer.socket = socket
    peer.link = connection
    peer.isDown = false
    this._log.info('slot-owner-connected', { owner: router.name })
    // Unlike `once`, this also resolves if the connection is reset.
    if (!socket.destroyed) await new Promise<void>((resolve) => { socket.once('close', () => resolve()) })
    peer.stopping.signal.removeEventListener('abort', stop)
    peer.link = undefined
    peer.socket = undefined
    peer.isDown = true
    connection.end()
    this._log.info('slot-owner-lost', { owner: router.name })
  }
}
