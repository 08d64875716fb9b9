import type { RouterIdentity } from '../router-identity.js'
import { chooseHeartbeatPeers } from './choose-heartbeat-peers.js'
import type { FleetView } from './fleet-view.js'
import type { HeartbeatExchange } from './heartbeat-exchange.js'
import type { HeartbeatMembershipOptions } from './heartbeat-membership-options.js'
import { HeartbeatSender } from './heartbeat-sender.js'
import type { MemberComparison } from './member-comparison.js'

/** Changes of the fleet that come together are answered by one choice of peers. */
const GATHER_MS = 20

/** Keeps one task for each router that gets this router's heartbeats, as the fleet changes. */
export class HeartbeatSenders {
  private readonly _view: FleetView
  private readonly _exchange: HeartbeatExchange
  private readonly _comparison: MemberComparison
  private readonly _options: HeartbeatMembershipOptions
  private readonly _senders = new Map<string, { sender: HeartbeatSender, ended: AbortController }>()
  private _changed = new AbortController()
  private _dirty = true

  /**
   * @param view the fleet as this router sees it
   * @param exchange writes and reads heartbeats
   * @param comparison repairs tables that stay different
   * @param options what the membership works with
   */
  constructor (view: FleetView, exchange: HeartbeatExchange, comparison: MemberComparison, options: HeartbeatMembershipOptions) {
    this._view = view
    this._exchange = exchange
    this._comparison = comparison
    this._options = options
    view.onLiveChange(() => this._noteChange())
    view.onChange((record, previous) => {
      if (previous?.incarnation !== record.incarnation || previous.condition !== record.condition) this.hasten()
    })
  }

  /** Ids of the routers that get heartbeats. */
  get peerIds (): string[] {
    return [...this._senders.keys()]
  }

  /** Makes the next heartbeat to each peer leave at once. */
  hasten (): void {
    for (const { sender } of this._senders.values()) sender.hasten()
  }

  /** Sends one heartbeat to each peer and waits for the answers. */
  async beatAll (): Promise<void> {
    await Promise.all([...this._senders.values()].map(({ sender }) => sender.beat()))
  }

  /**
   * Starts and ends the peers' tasks until the signal aborts.
   * @param signal ends the task and the peers' tasks
   */
  async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (this._dirty) this._choose(signal)
      this._changed = new AbortController()
      if (!this._dirty) await this._options.clock.sleep(60_000, AbortSignal.any([signal, this._changed.signal]))
      await this._options.clock.sleep(GATHER_MS, signal)
    }
    for (const { ended } of this._senders.values()) ended.abort()
  }

  private _noteChange (): void {
    this._dirty = true
    this._changed.abort()
  }

  private _choose (signal: AbortSignal): void {
    this._dirty = false
    const chosen = chooseHeartbeatPeers(this._view.self.identity.id, this._view.present)
    const ids = chosen.map((peer) => peer.id)
    this._exchange.pending.setPeers(ids)
    for (const [id, { ended }] of this._senders) {
      if (ids.includes(id)) continue
      ended.abort()
      this._senders.delete(id)
    }
    for (const peer of chosen) {
      if (!this._senders.has(peer.id)) this._start(peer, signal)
    }
  }

  private _start (peer: RouterIdentity, signal: AbortSignal): void {
    const ended = new AbortController()
    const sender = new HeartbeatSender(peer, this._view, this._exchange, this._comparison, this._options)
    this._senders.set(peer.id, { sender, ended })
    sender.run(AbortSignal.any([signal, ended.signal]))
  }
}
