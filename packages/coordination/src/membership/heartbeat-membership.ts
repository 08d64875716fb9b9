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

/** Maximum interval between checks for expired suspicions. */
const MAXIMUM_TIMEOUT_CHECK_INTERVAL_MS = 250
/** A sleep that exceeds its duration by more than this indicates that the process was suspended. */
const PAUSE_TOLERANCE_MS = 500

/**
 * Membership by heartbeats and gossip. Each router sends heartbeats to a constant number of peers, regardless of the
 * size of the fleet. Membership changes are piggybacked on heartbeats, which are then sent without delay. An
 * unresponsive router becomes a suspect, and can refute the suspicion before it is removed.
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
   * Registers the methods for heartbeats and for the comparison of member tables with the messenger.
   * @param options this router, its connections to peers, and timing
   */
  constructor (options: HeartbeatMembershipOptions) {
    this._options = options
    this._view = new FleetView(options.self, options.clock, options.eventLog, options.suspicionMs)
    this._exchange = new HeartbeatExchange(this._view)
    const comparison = new MemberComparison(this._view, this._exchange, options.messenger)
    this._senders = new HeartbeatSenders(this._view, this._exchange, comparison, options)
    this._discovery = new PeerDiscovery(this._view, comparison, options)
    options.messenger.handle('heartbeat', (params) => this._exchange.handleHeartbeat(params))
  }

  /** This router. */
  get self (): RouterIdentity {
    return this._view.self.identity
  }

  /**
   * Digest of the routers that are not removed. Two routers with the same digest assign the same owners to endpoints,
   * unless flap damping suppresses a router at only one of them.
   */
  get viewDigest (): number {
    return this._view.table.digest.members
  }

  /** Ids of the routers to which this router sends heartbeats. */
  get heartbeatPeerIds (): readonly string[] {
    return this._senders.peerIds
  }

  /**
   * Returns the live routers, including this one, sorted by id. Suspects count as live until they are removed; routers
   * suppressed by flap damping do not.
   */
  live (): readonly RouterIdentity[] {
    return this._view.live
  }

  /** Returns every known router with its state and revision, including removed ones. */
  routers (): readonly RouterView[] {
    return this._view.routers
  }

  /**
   * Registers a listener for changes of the set of live routers or of their leaving flags.
   * @param listener called without arguments, after the change took effect
   * @returns a function that removes the listener
   */
  onChange (listener: () => void): () => void {
    return this._view.onLiveChange(listener)
  }

  /**
   * Registers an extension that adds its payload to heartbeats and their responses.
   * @param extension replaces an earlier extension of the same name
   */
  addExtension (extension: HeartbeatExtension): void {
    this._exchange.addExtension(extension)
  }

  /**
   * Sets the configuration revision that this router reports to the fleet.
   * @param revision ignored unless it is higher than the current one
   */
  setRevision (revision: number): void {
    if (revision > this._view.self.revision) this._view.updateSelf({ revision })
  }

  /** Sends the next heartbeat to each peer without waiting for the heartbeat interval, to deliver an urgent update. */
  heartbeatNow (): void {
    this._senders.sendSoon()
  }

  /** Announces to the fleet that this router is leaving and accepts no new ownership. */
  leave (): void {
    const self = this._view.self
    if (self.identity.leaving) return
    this._view.updateSelf({ identity: { ...self.identity, leaving: true }, incarnation: self.incarnation + 1 })
  }

  /** Announces this router's removal to its peers. Must be called last, while `run` is still active. */
  async depart (): Promise<void> {
    this.leave()
    this._view.updateSelf({ condition: MemberCondition.REMOVED })
    await this._senders.sendHeartbeats()
  }

  /**
   * Sends heartbeats, discovers peers and expires suspicions until the signal aborts.
   * @param signal stops all tasks of the membership
   */
  async run (signal: AbortSignal): Promise<void> {
    await Promise.all([this._senders.run(signal), this._discovery.run(signal), this._runTimeouts(signal)])
  }

  private async _runTimeouts (signal: AbortSignal): Promise<void> {
    const clock = this._options.clock
    const periodMs = Math.min(this._options.suspicionMs / 4, MAXIMUM_TIMEOUT_CHECK_INTERVAL_MS)
    while (!signal.aborted) {
      const startedAt = clock.now()
      await clock.sleep(periodMs, signal)
      const excessMs = clock.now() - startedAt - periodMs
      this._view.applyTimeouts(excessMs > PAUSE_TOLERANCE_MS ? excessMs : 0)
    }
  }
}
