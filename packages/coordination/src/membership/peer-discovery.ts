import type { FleetView } from './fleet-view.js'
import type { HeartbeatMembershipOptions } from './heartbeat-membership-options.js'
import { hash32 } from './hash32.js'
import type { MemberComparison } from './member-comparison.js'
import { MemberCondition } from './member-condition.js'

/** Pause between two addresses that are tried; grows with the fleet's size, since every router tries. */
const TRY_INTERVAL_MS = 2_000
const VM_LIST_INTERVAL_MS = 10_000
/** Pauses for a router that knows no other or has just started: a fleet replaced at once begins as islands. */
const EAGER_TRY_INTERVAL_MS = 250
const EAGER_VM_LIST_INTERVAL_MS = 1_000
const EAGER_MS = 15_000
/** Addresses tried at once while eager, so that lost VMs in the list, which cost a timeout each, hold nothing up. */
const EAGER_TRIES = 4
const VM_LIST_TIMEOUT_MS = 2_000
/** Every router tries; so many a second in the whole fleet are enough to find a healed partition. */
const FLEET_TRIES_PER_SECOND = 20

/**
 * Looks for routers that this one does not know: at the seeds, at the VM list's addresses, and where routers
 * were that vanished. The addresses are hints; a router counts only once it has answered.
 */
export class PeerDiscovery {
  private readonly _view: FleetView
  private readonly _comparison: MemberComparison
  private readonly _options: HeartbeatMembershipOptions
  private _listed: string[] = []
  private _listedAt = -Infinity
  private readonly _startedAt: number
  private _turn: number

  /**
   * @param view the fleet as this router sees it
   * @param comparison introduces this router
   * @param options what the membership works with
   */
  constructor (view: FleetView, comparison: MemberComparison, options: HeartbeatMembershipOptions) {
    this._view = view
    this._comparison = comparison
    this._options = options
    this._startedAt = options.clock.now()
    this._turn = hash32(options.self.id)
  }

  /**
   * Tries one address after the other until the signal aborts.
   * @param signal ends the task
   */
  async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this._readList(signal)
      const tries = this._isEager() ? EAGER_TRIES : 1
      await Promise.all(Array.from({ length: tries }, () => this._tryNext()))
      await this._options.clock.sleep(this._intervalMs(), signal)
    }
  }

  private _intervalMs (): number {
    if (this._isEager()) return EAGER_TRY_INTERVAL_MS
    return Math.max(TRY_INTERVAL_MS, this._view.present.length * 1_000 / FLEET_TRIES_PER_SECOND)
  }

  private _isEager (): boolean {
    const young = this._options.clock.now() - this._startedAt < EAGER_MS
    return young || this._view.present.length <= 1
  }

  private async _readList (signal: AbortSignal): Promise<void> {
    const now = this._options.clock.now()
    const intervalMs = this._isEager() ? EAGER_VM_LIST_INTERVAL_MS : VM_LIST_INTERVAL_MS
    if (now - this._listedAt < intervalMs) return
    this._listedAt = now
    try {
      const bound = AbortSignal.any([signal, AbortSignal.timeout(VM_LIST_TIMEOUT_MS)])
      const entries = await this._options.vmList.list(bound)
      this._listed = entries.filter((entry) => entry.role === 'router').map((entry) => entry.address)
    } catch (error) {
      this._options.eventLog.warn('vm-list-failed', { error: String(error) })
    }
  }

  private async _tryNext (): Promise<void> {
    const candidates = this._candidates()
    const address = candidates[this._turn % Math.max(candidates.length, 1)]
    this._turn += 1
    if (address === undefined) return
    try {
      await this._comparison.compare(address)
      this._options.eventLog.info('router-found', { peer: address })
    } catch {
      // Most hints lead nowhere; a silent address is not news.
    }
  }

  private _candidates (): string[] {
    const present = new Set(this._view.present.map((router) => router.peerAddress))
    const removed = [...this._view.table.records]
      .filter((record) => record.condition === MemberCondition.REMOVED && !record.identity.leaving)
      .map((record) => record.identity.peerAddress)
    const hints = new Set([...this._options.seeds, ...this._listed, ...removed])
    return [...hints].filter((address) => !present.has(address))
  }
}
