import type { RouterIdentity } from '../router-identity.js'
import { chooseHeartbeatPeers } from './choose-heartbeat-peers.js'
import type { FleetView } from './fleet-view.js'
import type { HeartbeatExchange } from './heartbeat-exchange.js'
import type { HeartbeatMembershipOptions } from './heartbeat-membership-options.js'
import { HeartbeatSender } from './heartbeat-sender.js'
import type { MemberComparison } from './member-comparison.js'

/** Delay that batches membership changes which arrive together into one update of the peers. */
const BATCH_DELAY_MS = 20

/** Runs one heartbeat sender for each heartbeat peer, and updates the set of peers when the membership changes. */
export class HeartbeatSenders {
  private readonly _view: FleetView
  private readonly _exchange: HeartbeatExchange
  private readonly _comparison: MemberComparison
  private readonly _options: HeartbeatMembershipOptions
  private readonly _senders = new Map<string, { sender: HeartbeatSender, ended: AbortController }>()
  private _wake = new AbortController()
  private _dirty = true

  /**
   * @param view this router's view of the fleet, from which the peers are chosen
   * @param exchange creates heartbeats and applies their responses
   * @param comparison synchronizes member tables that remain different
   * @param options messenger, clock, event log and timing for each sender
   */
  constructor (view: FleetView, exchange: HeartbeatExchange, comparison: MemberComparison, options: HeartbeatMembershipOptions) {
    this._view = view
    this._exchange = exchange
    this._comparison = comparison
    this._options = options
    view.onLiveChange(() => this._scheduleUpdate())
    view.onChange((record, previous) => {
      if (previous?.incarnation !== record.incarnation || previous.condition !== record.condition) this.sendSoon()
    })
  }

  /** Ids of the routers to which heartbeats are sent. */
  get peerIds (): string[] {
    return [...this._senders.keys()]
  }

  /** Sends the next heartbeat to each peer without waiting for the heartbeat interval. */
  sendSoon (): void {
    for (const { sender } of this._senders.values()) sender.sendSoon()
  }

  /** Sends one heartbeat to each peer and waits for the responses. */
  async sendHeartbeats (): Promise<void> {
    await Promise.all([...this._senders.values()].map(({ sender }) => sender.sendHeartbeat()))
  }

  /**
   * Starts and stops heartbeat senders as the membership changes, until the signal aborts.
   * @param signal stops this task and all senders
   */
  async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (this._dirty) this._updatePeers(signal)
      this._wake = new AbortController()
      if (!this._dirty) await this._options.clock.sleep(60_000, AbortSignal.any([signal, this._wake.signal]))
      await this._options.clock.sleep(BATCH_DELAY_MS, signal)
    }
    for (const { ended } of this._senders.values()) ended.abort()
  }

  private _scheduleUpdate (): void {
    this._dirty = true
    this._wake.abort()
  }

  private _updatePeers (signal: AbortSignal): void {
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
