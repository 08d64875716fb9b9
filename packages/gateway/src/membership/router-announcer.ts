import type { EventLog } from '@mimosarock/coordination/event-log.js'
import type { FleetStore } from '../model/fleet-store.js'
import { pause } from './pause.js'
import type { RouterTable } from './router-table.js'

/** Timeout of one attempt, its two calls together. */
const CALL_TIMEOUT_MS = 2_000
/** Delay after a failed attempt, and between two checks for a change of the store's era. */
const CHECK_INTERVAL_MS = 1_000
/**
 * Age assumed for announcements read from the store, which do not state their time. Announcements of routers that
 * stopped long ago stay there; those routers expire from the router table because no peer reports them.
 */
const ANNOUNCEMENT_AGE_MS = 0

/**
 * Keeps the announcements of routers in the store, where routers that start later find them. Each router announces itself once. When the
 * store has come back from an older copy, the reader announces again, in one call, all routers that the copy lacks.
 */
export class RouterAnnouncer {
  private readonly _store: FleetStore
  private readonly _routers: RouterTable
  private readonly _isReader: () => boolean
  private readonly _log: EventLog
  private _announcedEra: number | undefined

  /**
   * @param store store of the platform
   * @param routers router table, which provides this router's entry and receives the other routers
   * @param isReader returns whether this router reads the store for the others
   * @param log logs failed attempts and repeated announcements
   */
  constructor (store: FleetStore, routers: RouterTable, isReader: () => boolean, log: EventLog) {
    this._store = store
    this._routers = routers
    this._isReader = isReader
    this._log = log
  }

  /**
   * Announces this router, then watches the era of the store.
   * @param signal stops the task
   */
  async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted && !await this._attempt((callSignal) => this._announceSelf(callSignal), signal)) await pause(CHECK_INTERVAL_MS, signal)
    while (!signal.aborted) {
      await pause(CHECK_INTERVAL_MS, signal)
      if (this._store.era.number === this._announcedEra || !this._isReader()) continue
      await this._attempt((callSignal) => this._announceMissing(callSignal), signal)
    }
  }

  private async _announceSelf (signal: AbortSignal): Promise<void> {
    await this._store.announce([this._routers.self], signal)
    const page = await this._store.routers.read(undefined, 0, signal)
    for (const change of page.changes) if (change.value !== undefined) this._routers.recordContact(change.value, ANNOUNCEMENT_AGE_MS)
    this._announcedEra = page.nextPosition.era
  }

  private async _announceMissing (signal: AbortSignal): Promise<void> {
    const page = await this._store.routers.read(undefined, 0, signal)
    const addresses = new Map(page.changes.map((change) => [change.key, change.value?.address]))
    const missing = this._routers.inReaderOrder().filter(({ name, address }) => addresses.get(name) !== address)
    if (missing.length > 0) await this._store.announce(missing, signal)
    this._announcedEra = page.nextPosition.era
    this._log.info('routers-announced-again', { count: missing.length, era: page.nextPosition.era })
  }

  private async _attempt (action: (signal: AbortSignal) => Promise<void>, signal: AbortSignal): Promise<boolean> {
    try {
      await action(AbortSignal.any([signal, AbortSignal.timeout(CALL_TIMEOUT_MS)]))
      return true
    } catch (error) {
      this._log.info('announcement-failed', { problem: (error as Error).message })
      return false
    }
  }
}
