import { hash32 } from '@mimosarock/coordination/membership/hash32.js'
import type { Clock } from '@mimosarock/coordination/clock.js'
import type { EventLog } from '@mimosarock/coordination/event-log.js'
import type { Membership } from '@mimosarock/coordination/membership.js'
import type { VmList } from '@mimosarock/coordination/vm-list.js'

/** Routers that read the list for the whole fleet, so that its cost does not grow with the fleet. */
const READERS = 3
const POLL_MS = 1_000
const TIMEOUT_MS = 1_000

/**
 * Reads from the VM list which endpoints are about to leave. A few routers read it for all; their lists may
 * disagree, and one of them that marks an endpoint is enough.
 */
export class VmListWatch {
  private readonly _vmList: VmList
  private readonly _membership: Membership
  private readonly _clock: Clock
  private readonly _eventLog: EventLog
  private readonly _onChange: () => void
  private _leaving: readonly string[] = []

  /**
   * @param vmList the platform's list
   * @param membership decides who reads
   * @param clock source of time
   * @param eventLog gets failed reads
   * @param onChange called when the marks changed
   */
  constructor (vmList: VmList, membership: Membership, clock: Clock, eventLog: EventLog, onChange: () => void) {
    this._vmList = vmList
    this._membership = membership
    this._clock = clock
    this._eventLog = eventLog
    this._onChange = onChange
  }

  /** Addresses of endpoints that this router's last read marks as leaving. */
  get leaving (): readonly string[] {
    return this._leaving
  }

  /**
   * Reads until the signal aborts.
   * @param signal ends the task
   */
  async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (this._isReader()) await this._read(signal)
      else this._set([])
      await this._clock.sleep(POLL_MS, signal)
    }
  }

  private _isReader (): boolean {
    const own = hash32(this._membership.self.id)
    const before = this._membership.live().filter((router) => !router.leaving && hash32(router.id) < own)
    return before.length < READERS
  }

  private async _read (signal: AbortSignal): Promise<void> {
    try {
      const entries = await this._vmList.list(AbortSignal.any([signal, AbortSignal.timeout(TIMEOUT_MS)]))
      this._set(entries.filter((entry) => entry.role === 'endpoint' && entry.leaving).map((entry) => entry.address))
    } catch (error) {
      // The last marks stay: an endpoint that was about to leave has not stopped to be.
      if (!signal.aborted) this._eventLog.warn('vm-list-failed', { error: String(error) })
    }
  }

  private _set (leaving: readonly string[]): void {
    if (leaving.length === this._leaving.length && leaving.every((address) => this._leaving.includes(address))) return
    this._leaving = leaving
    this._onChange()
  }
}
