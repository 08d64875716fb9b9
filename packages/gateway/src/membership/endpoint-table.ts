import type { EventLog } from '@mimosarock/coordination/event-log.js'
import type { ElapsedClock } from '../model/elapsed-clock.js'
import type { EndpointEntry } from '../model/endpoint-entry.js'
import type { TopicChange } from '../model/topic-change.js'
import type { EndpointChange } from './endpoint-change.js'
import type { EndpointListener } from './endpoint-listener.js'

/** How long an endpoint that left can still be asked for its contexts; afterwards its address may be another one's. */
const DEPARTED_KEEP_MS = 1_800

/** Changes that are kept for those that know the table as it was before; more have happened only after a long absence. */
const CHANGES_KEPT = 2_048

/** An endpoint that left. */
interface DepartedEntry {
  readonly entry: EndpointEntry
  readonly until: number
}

/**
 * The endpoints that may get work. An entry that is removed while the store is sound is gone at once. One that
 * lapsed during an outage of the store stays for the time in which a live endpoint registers again.
 */
export class EndpointTable {
  private readonly _entries = new Map<string, EndpointEntry>()
  /** Moments at which entries that vanished around an outage are dropped. */
  private readonly _lapsed = new Map<string, number>()
  private readonly _departed = new Map<string, DepartedEntry>()
  private readonly _clock: ElapsedClock
  private readonly _log: EventLog
  private readonly _listeners: EndpointListener[] = []
  private _byService: Map<string, EndpointEntry[]> | undefined
  private readonly _changes: EndpointChange[] = []
  private _revision = 0

  /**
   * @param clock for the time that lapsed entries stay
   * @param log takes a line for each endpoint that comes, drains or goes
   */
  constructor (clock: ElapsedClock, log: EventLog) {
    this._clock = clock
    this._log = log
  }

  /** Grows with each change that others should learn. */
  get revision (): number {
    return this._revision
  }

  /**
   * Changes since a revision, in order; undefined if they are no longer known.
   * @param revision of this table
   */
  changesSince (revision: number): readonly EndpointChange[] | undefined {
    const count = this._revision - revision
    if (count < 0 || count > this._changes.length) return undefined
    return count === 0 ? [] : this._changes.slice(-count)
  }

  /** All entries, also of those that are draining. */
  get entries (): Iterable<EndpointEntry> {
    return this._entries.values()
  }

  /**
   * Adds a listener.
   * @param listener is called after each change
   */
  listen (listener: EndpointListener): void {
    this._listeners.push(listener)
  }

  /**
   * An entry by identity, also of one that is draining.
   * @param id identity of the endpoint
   */
  find (id: string): EndpointEntry | undefined {
    return this._entries.get(id)
  }

  /**
   * An entry from which contexts can be copied: also one that left a moment ago, as endpoints go on for a while.
   * @param id identity of the endpoint
   */
  findSource (id: string): EndpointEntry | undefined {
    return this._entries.get(id) ?? this._departed.get(id)?.entry
  }

  /**
   * The endpoints of a service that take new work.
   * @param service name of the service
   */
  ready (service: string): readonly EndpointEntry[] {
    this.expireLapsed()
    this._byService ??= this._index()
    return this._byService.get(service) ?? []
  }

  /**
   * Applies changes that the store told.
   * @param changes in order
   * @param lapsedUntil moment until which vanished entries are still used, since the store was away; undefined if it was not
   */
  apply (changes: readonly TopicChange<EndpointEntry>[], lapsedUntil: number | undefined): void {
    for (const change of changes) {
      if (change.value !== undefined) this._put(change.value)
      else this._remove(change.key, lapsedUntil)
    }
  }

  /**
   * Replaces all entries by what the store, or another router, holds now.
   * @param entries all that are registered
   * @param lapsedUntil moment until which vanished entries are still used, since the store was away; undefined if it was not
   */
  replace (entries: readonly EndpointEntry[], lapsedUntil: number | undefined): void {
    const named = new Set(entries.map((entry) => entry.id))
    for (const id of [...this._entries.keys()]) {
      if (!named.has(id) && !this._lapsed.has(id)) this._remove(id, lapsedUntil)
    }
    for (const entry of entries) this._put(entry)
  }

  /** Drops lapsed entries whose endpoints did not register again in time, and forgets those that left. */
  expireLapsed (): void {
    if (this._lapsed.size === 0 && this._departed.size === 0) return
    const now = this._clock.now()
    for (const [id, departed] of this._departed) {
      if (now >= departed.until) this._forget(id, departed.entry)
    }
    for (const [id, until] of this._lapsed) {
      if (now >= until) this._drop(id)
    }
  }

  private _put (entry: EndpointEntry): void {
    const held = this._entries.get(entry.id)
    const departed = this._departed.get(entry.id)
    if (departed !== undefined) this._forget(entry.id, departed.entry)
    this._lapsed.delete(entry.id)
    if (held !== undefined && sameEntry(held, entry)) {
      this._entries.set(entry.id, entry)
      return
    }
    const isNewIncarnation = held !== undefined && held.startedAt !== entry.startedAt
    this._entries.set(entry.id, entry)
    this._changed({ id: entry.id, entry })
    this._log.info('endpoint-registered', {
      endpoint: entry.id,
      service: entry.service,
      address: entry.address,
      draining: entry.isDraining,
      restarted: isNewIncarnation
    })
    if (!isNewIncarnation) return
    for (const listener of this._listeners) listener.endpointRestarted(entry)
  }

  private _remove (id: string, lapsedUntil: number | undefined): void {
    const entry = this._entries.get(id)
    if (entry === undefined) return
    if (lapsedUntil === undefined || entry.isDraining) {
      this._drop(id)
      return
    }
    if (this._lapsed.has(id)) return
    this._lapsed.set(id, lapsedUntil)
    this._log.warn('endpoint-lapsed', { endpoint: id, keep_ms: Math.round(lapsedUntil - this._clock.now()) })
  }

  private _drop (id: string): void {
    const entry = this._entries.get(id)
    this._lapsed.delete(id)
    if (entry === undefined) return
    this._entries.delete(id)
    this._departed.set(id, { entry, until: this._clock.now() + DEPARTED_KEEP_MS })
    this._changed({ id, entry: undefined })
    this._log.info('endpoint-gone', { endpoint: id, service: entry.service })
    for (const listener of this._listeners) listener.endpointGone(entry)
  }

  private _forget (id: string, entry: EndpointEntry): void {
    this._departed.delete(id)
    for (const listener of this._listeners) listener.endpointForgotten(entry)
  }

  private _changed (change: EndpointChange): void {
    this._revision += 1
    this._changes.push(change)
    if (this._changes.length > CHANGES_KEPT) this._changes.splice(0, CHANGES_KEPT / 2)
    this._byService = undefined
  }

  private _index (): Map<string, EndpointEntry[]> {
    const byService = new Map<string, EndpointEntry[]>()
    for (const entry of this._entries.values()) {
      if (entry.isDraining) continue
      const entries = byService.get(entry.service)
      if (entries === undefined) byService.set(entry.service, [entry])
      else entries.push(entry)
    }
    return byService
  }
}

function sameEntry (left: EndpointEntry, right: EndpointEntry): boolean {
  return left.service === right.service && left.address === right.address && left.slots === right.slots &&
    left.isDraining === right.isDraining && left.startedAt === right.startedAt &&
    left.availabilityZone === right.availabilityZone
}
