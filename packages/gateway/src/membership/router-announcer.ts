import type { EventLog } from '@mimosarock/coordination/event-log.js'
import type { FleetStore } from '../model/fleet-store.js'
import type { RouterEntry } from '../model/router-entry.js'
import { pause } from './pause.js'
import type { RouterTable } from './router-table.js'

/** Timeout of one attempt, its calls together. */
const CALL_TIMEOUT_MS = 2_000
/** Interval at which the reader checks for routers to announce. */
const CHECK_INTERVAL_MS = 500
/** Time after the start of a router in which it finds the reader, unless it reaches nobody. */
const SETTLING_MS = 1_500
/**
 * Age assumed for announcements read from the store, which do not state their time. Announcements of routers that
 * stopped long ago stay there; those routers expire from the router table because no peer reports them.
 */
const ANNOUNCEMENT_AGE_MS = 0

/**
 * Keeps the announcements of routers in the store, where a router finds others that its seeds do not lead it to. The reader
 * announces, in one call, all routers it knows that are not announced: after a change of the members, and after the store has
 * come back from an older copy. A router that reaches no other one is a reader too, and announces itself.
 */
export class RouterAnnouncer {
  private readonly _store: FleetStore
  private readonly _routers: RouterTable
  private readonly _isReader: () => boolean
  private readonly _log: EventLog
  private _announcedEra: number | undefined
  private _announcedOrder: readonly RouterEntry[] | undefined
  private _checks = 0
  private _onLearned: (routers: readonly RouterEntry[]) => void = () => undefined

  /**
   * @param store store of the platform
   * @param routers router table, which provides the known routers and receives announced ones
   * @param isReader returns whether this router reads the store for the others, and the store answers
   * @param log logs announcements and failed attempts
   */
  constructor (store: FleetStore, routers: RouterTable, isReader: () => boolean, log: EventLog) {
    this._store = store
    this._routers = routers
    this._isReader = isReader
    this._log = log
  }

  /**
   * Sets the listener that is called with routers that were known by their announcements alone; it replaces the previous one.
   * @param onLearned listener
   */
  onLearned (onLearned: (routers: readonly RouterEntry[]) => void): void {
    this._onLearned = onLearned
  }

  /**
   * Announces routers while this router is the reader.
   * @param signal stops the task
   */
  async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await pause(CHECK_INTERVAL_MS, signal)
      this._checks += 1
      if (!signal.aborted && this._isDue()) await this._announce(signal)
    }
  }

  private _isDue (): boolean {
    const hasSettled = this._checks * CHECK_INTERVAL_MS >= SETTLING_MS || this._routers.size === 1
    return hasSettled && this._isReader() && !this._isAnnounced()
  }

  private _isAnnounced (): boolean {
    return this._announcedOrder === this._routers.inReaderOrder() && this._announcedEra === this._store.era.number
  }

  private async _announce (signal: AbortSignal): Promise<void> {
    try {
      await this._announceMissing(AbortSignal.any([signal, AbortSignal.timeout(CALL_TIMEOUT_MS)]))
    } catch (error) {
      this._log.info('announcement-failed', { problem: (error as Error).message })
    }
  }

  private async _announceMissing (signal: AbortSignal): Promise<void> {
    const page = await this._store.routers.read(undefined, 0, signal)
    const announced = new Map(page.changes.map((change) => [change.key, change.value?.address]))
    const order = this._routers.inReaderOrder()
    const missing = order.filter(({ name, address }) => announced.get(name) !== address)
    if (missing.length > 0) await this._store.announce(missing, signal)
    if (this._announcedOrder === undefined) await this._learnAnnounced(signal)
    this._announcedEra = page.nextPosition.era
    this._announcedOrder = order
    this._log.info('routers-announced', { announced: missing.length, known: order.length, era: page.nextPosition.era })
  }

  /**
   * Learns the announced routers, once. It is read after this router's own announcement: of two groups of routers that do not know
   * each other, the one that reads later finds the other one. Later readings add no routers, since those that have stopped are
   * announced as well.
   */
  private async _learnAnnounced (signal: AbortSignal): Promise<void> {
    const page = await this._store.routers.read(undefined, 0, signal)
    const known = new Set(this._routers.inReaderOrder().map(({ name }) => name))
    const learned = page.changes.flatMap(({ value }) => value === undefined || known.has(value.name) ? [] : [value])
    for (const router of learned) this._routers.recordContact(router, ANNOUNCEMENT_AGE_MS)
    this._onLearned(learned)
  }
}
