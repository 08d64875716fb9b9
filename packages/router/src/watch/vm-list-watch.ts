import { hash32 } from '@mimosarock/coordination/membership/hash32.js'
import type { Clock } from '@mimosarock/coordination/clock.js'
import type { EventLog } from '@mimosarock/coordination/event-log.js'
import type { Membership } from '@mimosarock/coordination/membership.js'
import type { VmList } from '@mimosarock/coordination/vm-list.js'

/** Number of routers that read the list on behalf of the fleet; the number of reads does not grow with the fleet. */
const READER_COUNT = 3
const POLL_MS = 1_000
const TIMEOUT_MS = 1_000

/**
 * Reads from the VM list which endpoints are about to leave. Only a few routers read the list on behalf of the fleet.
 * Their lists may disagree; an endpoint is leaving if any of them marks it.
 */
export class VmListWatch {
  private readonly _vmList: VmList
  private readonly _membership: Membership
  private readonly _clock: Clock
  private readonly _eventLog: EventLog
  private readonly _onChange: () => void
  private _leaving: readonly string[] = []

  /**
   * @param vmList VM list of the platform
   * @param membership live routers, from which the readers are selected
   * @param clock source of time
   * @param eventLog receives failed reads
   * @param onChange called after the set of leaving endpoints has changed
   */
  constructor (vmList: VmList, membership: Membership, clock: Clock, eventLog: EventLog, onChange: () => void) {
    this._vmList = vmList
    this._membership = membership
    this._clock = clock
    this._eventLog = eventLog
    this._onChange = onChange
  }

  /** Addresses of leaving endpoints in the last list read by this router; empty if it is not a reader. */
  get leaving (): readonly string[] {
    return this._leaving
  }

  /**
   * Polls the list until the signal aborts.
   * @param signal stops the task
   */
  async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (this._isReader()) await this._read(signal)
      else this._setLeaving([])
      await this._clock.sleep(POLL_MS, signal)
    }
  }

  private _isReader (): boolean {
    const selfHash = hash32(this._membership.self.id)
    const preceding = this._membership.live().filter((router) => !router.leaving && hash32(router.id) < selfHash)
    return preceding.length < READER_COUNT
  }

  private async _read (signal: AbortSignal): Promise<void> {
    try {
      const entries = await this._vmList.list(AbortSignal.any([signal, AbortSignal.timeout(TIMEOUT_MS)]))
      this._setLeaving(entries.filter((entry) => entry.role === 'endpoint' && entry.leaving).map((entry) => entry.address))
    } catch (error) {
      // The last known marks remain in effect, because an endpoint that was about to leave still is.
      if (!signal.aborted) this._eventLog.warn('vm-list-failed', { error: String(error) })
    }
  }

  private _setLeaving (leaving: readonly string[]): void {
    if (leaving.length === this._leaving.length && leaving.every((address) => this._leaving.includes(address))) return
    this._leaving = leaving
    this._onChange()
  }
}
