import type { Membership } from '../membership.js'
import type { RouterIdentity } from '../router-identity.js'
import { FleetView } from './fleet-view.js'
import { HeartbeatExchange } from './heartbeat-exchange.js'
import type { HeartbeatExtension } from './heartbeat-extension.js'
import type { HeartbeatMembershipOptions } from './heartbeat-membership-options.js'
import { HeartbeatSenders } from './heartbeat-senders.js'
import { MemberComparison } from './member-comparison.js'
import { MemberCondition } from './member-condition.js'
import { PeerDiscovery } from './peer-discovery.js'
import type { RouterView } from './router-view.js'

/** Longest pause between two looks at the suspects. */
const MAXIMUM_AGING_MS = 250
/** A pause that took so much longer than asked shows that this process itself stood still. */
const PAUSE_TOLERANCE_MS = 500

/**
 * Membership by heartbeats. Each router calls a few others, however large the fleet; changes travel in the
 * heartbeats and leave at once; a silent router is a suspect before it is removed and may refute.
 *
 * @example
 * const membership = new HeartbeatMembership({ self, messenger, vmList, seeds, clock, eventLog, heartbeatMs: 1_000, suspicionMs: 3_000 })
 * membership.onChange(() => console.log(membership.live().length))
 * await membership.run(signal)
 */
export class HeartbeatMembership implements Membership {
  private readonly _options: HeartbeatMembershipOptions
  private readonly _view: FleetView
  private readonly _exchange: HeartbeatExchange
  private readonly _senders: HeartbeatSenders
  private readonly _discovery: PeerDiscovery

  /**
   * Registers the heartbeat methods at the messenger.
   * @param options what the membership works with
   */
  constructor (options: HeartbeatMembershipOptions) {
    this._options = options
    this._view = new FleetView(options.self, options.clock, options.eventLog, options.suspicionMs)
    this._exchange = new HeartbeatExchange(this._view)
    const comparison = new MemberComparison(this._view, this._exchange, options.messenger)
    this._senders = new HeartbeatSenders(this._view, this._exchange, comparison, options)
    this._discovery = new PeerDiscovery(this._view, comparison, options)
    options.messenger.handle('heartbeat', (params) => this._exchange.answer(params))
  }

  /** This router. */
  get self (): RouterIdentity {
    return this._view.self.identity
  }

  /** Digest of the live routers: two routers with the same one see the same owners of endpoints. */
  get viewDigest (): number {
    return this._view.table.digest.members
  }

  /** Ids of the routers that get this router's heartbeats. */
  get heartbeatPeerIds (): readonly string[] {
    return this._senders.peerIds
  }

  /** Live routers, this one included, in the order of their ids; suspects count as live until removed. */
  live (): readonly RouterIdentity[] {
    return this._view.live
  }

  /** Every known router with its state and revision, removed ones included. */
  routers (): readonly RouterView[] {
    return this._view.routers
  }

  /**
   * Calls back after each change of the live routers or of their leaving marks.
   * @param listener called without arguments
   * @returns a function that ends the calls
   */
  onChange (listener: () => void): () => void {
    return this._view.onLiveChange(listener)
  }

  /**
   * Adds a payload to the heartbeats.
   * @param extension gives and takes the payloads
   */
  addExtension (extension: HeartbeatExtension): void {
    this._exchange.addExtension(extension)
  }

  /**
   * Sets the configuration revision that this router reports to the fleet.
   * @param revision never lower than before
   */
  setRevision (revision: number): void {
    if (revision > this._view.self.revision) this._view.updateSelf({ revision })
  }

  /** Sends the next heartbeat to each peer at once, for news that can't wait. */
  heartbeatNow (): void {
    this._senders.hasten()
  }

  /** Tells the fleet at once that this router takes no new ownership. */
  leave (): void {
    const self = this._view.self
    if (self.identity.leaving) return
    this._view.updateSelf({ identity: { ...self.identity, leaving: true }, incarnation: self.incarnation + 1 })
  }

  /** Tells the peers that this router is gone; to be called last, while `run` still runs. */
  async depart (): Promise<void> {
    this.leave()
    this._view.updateSelf({ condition: MemberCondition.REMOVED })
    await this._senders.beatAll()
  }

  /**
   * Takes part in the fleet until the signal aborts.
   * @param signal ends all tasks
   */
  async run (signal: AbortSignal): Promise<void> {
    await Promise.all([this._senders.run(signal), this._discovery.run(signal), this._age(signal)])
  }

  private async _age (signal: AbortSignal): Promise<void> {
    const clock = this._options.clock
    const periodMs = Math.min(this._options.suspicionMs / 4, MAXIMUM_AGING_MS)
    while (!signal.aborted) {
      const startedAt = clock.now()
      await clock.sleep(periodMs, signal)
      const excessMs = clock.now() - startedAt - periodMs
      this._view.age(excessMs > PAUSE_TOLERANCE_MS ? excessMs : 0)
    }
  }
}
