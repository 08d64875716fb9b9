import type { FleetView } from './fleet-view.js'
import type { HeartbeatMembershipOptions } from './heartbeat-membership-options.js'
import { hash32 } from './hash32.js'
import type { MemberComparison } from './member-comparison.js'
import { MemberCondition } from './member-condition.js'

/** Minimum interval between probes; grows with the size of the fleet, since every router probes. */
const PROBE_INTERVAL_MS = 2_000
const VM_LIST_INTERVAL_MS = 10_000
/** Intervals for a router that has just started or knows no other: a fleet replaced at once starts out partitioned. */
const EAGER_PROBE_INTERVAL_MS = 250
const EAGER_VM_LIST_INTERVAL_MS = 1_000
const EAGER_PERIOD_MS = 15_000
/** Concurrent probes while eager: probes of VMs that are listed but no longer exist, which all time out, must not delay the others. */
const EAGER_PROBES = 4
const VM_LIST_TIMEOUT_MS = 2_000
/** Probes per second of the whole fleet, which suffice to detect a healed partition. */
const FLEET_PROBES_PER_SECOND = 20

/**
 * Discovers unknown routers by probing the seeds, the addresses on the VM list, and the addresses of routers that were
 * removed without announcing it. The addresses are hints: a router becomes a member only after it has responded.
 */
export class PeerDiscovery {
  private readonly _view: FleetView
  private readonly _comparison: MemberComparison
  private readonly _options: HeartbeatMembershipOptions
  private _listedAddresses: string[] = []
  private _vmListReadAt = -Infinity
  private readonly _startedAt: number
  private _probeIndex: number

  /**
   * @param view this router's view of the fleet
   * @param comparison exchanges member records with a probed router
   * @param options seeds, VM list, clock and event log
   */
  constructor (view: FleetView, comparison: MemberComparison, options: HeartbeatMembershipOptions) {
    this._view = view
    this._comparison = comparison
    this._options = options
    this._startedAt = options.clock.now()
    this._probeIndex = hash32(options.self.id)
  }

  /**
   * Probes addresses in turn until the signal aborts.
   * @param signal stops the task
   */
  async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this._refreshVmList(signal)
      const probes = this._isEager() ? EAGER_PROBES : 1
      await Promise.all(Array.from({ length: probes }, () => this._probeNext()))
      await this._options.clock.sleep(this._intervalMs(), signal)
    }
  }

  private _intervalMs (): number {
    if (this._isEager()) return EAGER_PROBE_INTERVAL_MS
    return Math.max(PROBE_INTERVAL_MS, this._view.present.length * 1_000 / FLEET_PROBES_PER_SECOND)
  }

  private _isEager (): boolean {
    const hasJustStarted = this._options.clock.now() - this._startedAt < EAGER_PERIOD_MS
    return hasJustStarted || this._view.present.length <= 1
  }

  private async _refreshVmList (signal: AbortSignal): Promise<void> {
    const now = this._options.clock.now()
    const intervalMs = this._isEager() ? EAGER_VM_LIST_INTERVAL_MS : VM_LIST_INTERVAL_MS
    if (now - this._vmListReadAt < intervalMs) return
    this._vmListReadAt = now
    try {
      const listSignal = AbortSignal.any([signal, AbortSignal.timeout(VM_LIST_TIMEOUT_MS)])
      const entries = await this._options.vmList.list(listSignal)
      this._listedAddresses = entries.filter((entry) => entry.role === 'router').map((entry) => entry.address)
    } catch (error) {
      this._options.eventLog.warn('vm-list-failed', { error: String(error) })
    }
  }

  private async _probeNext (): Promise<void> {
    const candidates = this._candidates()
    const address = candidates[this._probeIndex % Math.max(candidates.length, 1)]
    this._probeIndex += 1
    if (address === undefined) return
    try {
      await this._comparison.compare(address)
      this._options.eventLog.info('router-found', { peer: address })
    } catch {
      // Failures are not logged, since most probed addresses do not respond.
    }
  }

  private _candidates (): string[] {
    const present = new Set(this._view.present.map((router) => router.peerAddress))
    const removed = [...this._view.table.records]
      .filter((record) => record.condition === MemberCondition.REMOVED && !record.identity.leaving)
      .map((record) => record.identity.peerAddress)
    const hints = new Set([...this._options.seeds, ...this._listedAddresses, ...removed])
    return [...hints].filter((address) => !present.has(address))
  }
}
