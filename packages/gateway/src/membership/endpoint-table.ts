import type { EventLog } from '@mimosarock/coordination/event-log.js'
import type { ZoneEvacuations } from '../evacuation/zone-evacuations.js'
import type { ElapsedClock } from '../model/elapsed-clock.js'
import type { EndpointEntry } from '../model/endpoint-entry.js'
import type { TopicChange } from '../model/topic-change.js'
import type { EndpointChange } from './endpoint-change.js'
import type { EndpointRemoval } from './endpoint-removal.js'
import type { EndpointListener } from './endpoint-listener.js'
import type { EndpointOrigin } from './endpoint-origin.js'
import type { RegistrationRecorder } from './registration-recorder.js'
import { RegistrationOrder } from './registration-order.js'

/** How long contexts can be copied from an endpoint after its removal. Its address may be reassigned afterwards. */
const DEPARTED_RETENTION_MS = 1_800

/** Maximum number of changes retained for routers with an older revision. A router misses more only after a long absence. */
const MAXIMUM_CHANGES = 2_048

/** Maximum number of endpoints remembered as leaving; the first ones are forgotten first. */
const MAXIMUM_LEAVING = 4_096
/** Evacuations of a table that knows of none. */
const NO_EVACUATIONS: Pick<ZoneEvacuations, 'includes' | 'revision'> = { revision: 0, includes: () => false }
/** Origin of what this router has read itself. */
const STORE: EndpointOrigin = { source: 'store', asOf: undefined }
/** Origin of removals at the end of a time. */
const EXPIRY: EndpointOrigin = { source: 'expiry', asOf: undefined }
/** Start of an incarnation that did not state it. */
const UNKNOWN_START = 0

/** An endpoint that was removed and can still be a source of contexts. */
interface DepartedEntry {
  readonly entry: EndpointEntry
  readonly expiresAt: number
}

/** Endpoints of a service that are not draining. */
interface ServiceEndpoints {
  /** Those that accept new requests. */
  readonly ready: EndpointEntry[]
  /** Those whose zones are evacuated. */
  readonly evacuated: EndpointEntry[]
}

/**
 * Registered endpoints. An entry that is removed while the store is available is deleted immediately. An entry that
 * expires during an outage of the store is retained for a grace period, in which a live endpoint registers again. An
 * entry of a draining endpoint is deleted immediately in both cases.
 * Registrations that are older than what is known of their endpoint do not count, see `RegistrationOrder`.
 */
export class EndpointTable {
  private readonly _entries = new Map<string, EndpointEntry>()
  /** Ends of the grace periods of entries that the store removed during or shortly after an outage, by endpoint id. */
  private readonly _lapsed = new Map<string, number>()
  private readonly _departed = new Map<string, DepartedEntry>()
  private readonly _order: RegistrationOrder
  /** Start of the incarnation that stated that it is leaving, by endpoint id. */
  private readonly _leaving = new Map<string, number>()
  private readonly _clock: ElapsedClock
  private readonly _log: EventLog
  private readonly _listeners: EndpointListener[] = []
  private _recorder: RegistrationRecorder | undefined
  private readonly _evacuations: Pick<ZoneEvacuations, 'includes' | 'revision'>
  private _byService: Map<string, ServiceEndpoints> | undefined
  /** Revision of the evacuations that `_byService` takes into account. */
  private _indexedEvacuations = 0
  private readonly _changes: EndpointChange[] = []
  private _revision = 0

  /**
   * @param clock clock for expiry times
   * @param log logs registered, draining, lapsed and removed endpoints
   * @param evacuations availability zones whose endpoints accept no new requests; none by default
   */
  constructor (clock: ElapsedClock, log: EventLog, evacuations = NO_EVACUATIONS) {
    this._clock = clock
    this._log = log
    this._evacuations = evacuations
    this._order = new RegistrationOrder(clock, log)
  }

  /** Revision number; incremented by each change that other routers need. */
  get revision (): number {
    return this._revision
  }

  /**
   * Returns the changes since a revision, in order; undefined if they are no longer retained.
   * @param revision an earlier revision of this table
   */
  changesSince (revision: number): readonly EndpointChange[] | undefined {
    const count = this._revision - revision
    if (count < 0 || count > this._changes.length) return undefined
    return count === 0 ? [] : this._changes.slice(-count)
  }

  /** All entries, including draining endpoints. */
  get entries (): Iterable<EndpointEntry> {
    return this._entries.values()
  }

  /** Endpoints that were removed a short time ago. */
  get removals (): readonly EndpointRemoval[] {
    return this._order.removals
  }

  /**
   * Records a removal that another router knows. What that one has seen last of the endpoint may be newer than what this one has.
   * @param removal the removal
   * @param origin where it came from
   */
  recordRemoval (removal: EndpointRemoval, origin: EndpointOrigin): void {
    if (this._order.learnRemoval(removal, this._entries.get(removal.id))) this._delete(removal.id, origin)
  }

  /** Prepares for content of the store that is older than what it held before. */
  storeEraChanged (): void {
    this._order.storeEraChanged()
  }

  /**
   * Adds a listener.
   * @param listener listener to call after each restart, removal and expiry
   */
  listen (listener: EndpointListener): void {
    this._listeners.push(listener)
  }

  /**
   * Sets what records each registration that is not outdated; it replaces the previous one.
   * @param recorder decides whether other routers have to hear of a registration that changes nothing in this table
   */
  setRecorder (recorder: RegistrationRecorder): void {
    this._recorder = recorder
  }

  /**
   * Returns an endpoint, also if it is draining; undefined if it is not registered.
   * @param id id of the endpoint
   */
  find (id: string): EndpointEntry | undefined {
    return this._entries.get(id)
  }

  /**
   * Returns an endpoint from which contexts can be copied; undefined if it is unknown. Includes endpoints that were
   * removed recently, since they keep running for a short time.
   * @param id id of the endpoint
   */
  findContextSource (id: string): EndpointEntry | undefined {
    return this._entries.get(id) ?? this._departed.get(id)?.entry
  }

  /**
   * Returns the endpoints of a service that accept new requests; those in evacuated zones do not.
   * @param service name of the service
   */
  ready (service: string): readonly EndpointEntry[] {
    return this._endpointsOf(service)?.ready ?? []
  }

  /**
   * Returns the endpoints of a service that would accept new requests if their zones were not evacuated.
   * @param service name of the service
   */
  evacuated (service: string): readonly EndpointEntry[] {
    return this._endpointsOf(service)?.evacuated ?? []
  }

  /**
   * Returns whether an endpoint is in an evacuated zone.
   * @param endpoint the endpoint
   */
  isEvacuated ({ availabilityZone }: EndpointEntry): boolean {
    return this._evacuations.includes(availabilityZone)
  }

  /**
   * Records that an endpoint has stated in a response that it is leaving. It gets no new requests, whatever the store says of this
   * incarnation.
   * @param endpoint the endpoint
   */
  recordLeaving ({ id, startedAt }: EndpointEntry): void {
    this._leaving.set(id, startedAt)
    if (this._leaving.size > MAXIMUM_LEAVING) this._leaving.delete(this._leaving.keys().next().value as string)
    const current = this._entries.get(id)
    if (current?.startedAt === startedAt && !current.isDraining) this._put(current)
  }

  /**
   * Applies changes read from the store.
   * @param changes changes in order
   * @param gracePeriodEnd time until which removed entries are retained after an outage of the store; undefined to
   * delete them immediately
   */
  apply (changes: readonly TopicChange<EndpointEntry>[], gracePeriodEnd: number | undefined): void {
    for (const change of changes) {
      if (change.value !== undefined) this._putRead(change.value)
      else this._removeRead(change.key, gracePeriodEnd)
    }
  }

  /**
   * Replaces all entries with the current state of the store.
   * @param entries all registered endpoints
   * @param gracePeriodEnd time until which missing entries are retained after an outage of the store; undefined to
   * delete them immediately
   */
  replace (entries: readonly EndpointEntry[], gracePeriodEnd: number | undefined): void {
    this._order.forgetRead()
    for (const entry of entries) this._order.recordRead(entry)
    this._replace(entries, (id) => this._remove(id, gracePeriodEnd))
  }

  /**
   * Replaces all entries with those of another router. That it lacks an endpoint does not mean that the store has removed it: it may not have learned
   * of it. A router that knows of the removal states that, see `recordRemoval`.
   * @param entries all endpoints of the other router
   * @param origin the other router
   */
  adopt (entries: readonly EndpointEntry[], origin: EndpointOrigin): void {
    this._replace(entries, (id) => this._drop(id, origin))
  }

  /**
   * Deletes lapsed entries whose grace period is over, and departed endpoints after their retention time. Adds entries
   * that are no longer withheld.
   */
  removeExpired (): void {
    if (this._lapsed.size === 0 && this._departed.size === 0 && !this._order.isWithholding) return
    const now = this._clock.now()
    for (const entry of this._order.releaseWithheld()) this._put(entry)
    for (const [id, departed] of this._departed) {
      if (now >= departed.expiresAt) this._expireDeparted(id, departed.entry)
    }
    for (const [id, expiresAt] of this._lapsed) {
      if (now >= expiresAt) this._delete(id, EXPIRY)
    }
  }

  private _replace (entries: readonly EndpointEntry[], removeMissing: (id: string) => void): void {
    const registeredIds = new Set(entries.map((entry) => entry.id))
    this._order.retainWithheld(registeredIds)
    for (const id of [...this._entries.keys()]) if (!registeredIds.has(id) && !this._lapsed.has(id)) removeMissing(id)
    for (const entry of entries) this._put(entry)
  }

  private _putRead (registered: EndpointEntry): void {
    this._order.recordRead(registered)
    this._put(registered)
  }

  private _removeRead (id: string, gracePeriodEnd: number | undefined): void {
    const isRegisteredSince = this._order.learnReadRemoval(id, this._entries.get(id))
    if (!isRegisteredSince) this._remove(id, gracePeriodEnd)
  }

  private _put (registered: EndpointEntry): void {
    const current = this._entries.get(registered.id)
    if (this._order.isOutdated(registered, current)) return
    const entry = this._isLeaving(registered) ? { ...registered, isDraining: true } : registered
    const departed = this._departed.get(entry.id)
    if (departed !== undefined) this._expireDeparted(entry.id, departed.entry)
    this._lapsed.delete(entry.id)
    this._order.recordRegistration(entry)
    const isNews = this._recorder?.record(entry, current) === true
    if (current !== undefined && !isNews && isSameEntry(current, entry)) {
      this._entries.set(entry.id, entry)
      return
    }
    const isNewIncarnation = current !== undefined && current.startedAt !== entry.startedAt
    this._entries.set(entry.id, entry)
    this._recordChange({ id: entry.id, entry })
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

  private _isLeaving ({ id, startedAt }: EndpointEntry): boolean {
    const leavingStart = this._leaving.get(id)
    if (leavingStart !== undefined && leavingStart !== startedAt) this._leaving.delete(id)
    return leavingStart === startedAt
  }

  private _remove (id: string, gracePeriodEnd: number | undefined): void {
    this._order.dropWithheld(id)
    const entry = this._entries.get(id)
    if (entry === undefined) return
    if (gracePeriodEnd === undefined || entry.isDraining) {
      this._delete(id, STORE)
      return
    }
    if (this._lapsed.has(id)) return
    this._lapsed.set(id, gracePeriodEnd)
    this._log.warn('endpoint-lapsed', { endpoint: id, keep_ms: Math.round(gracePeriodEnd - this._clock.now()) })
  }

  /** Deletes an endpoint that the store has removed. */
  private _delete (id: string, origin: EndpointOrigin): void {
    const entry = this._entries.get(id)
    if (entry === undefined) this._lapsed.delete(id)
    else this._deleteEntry(entry, origin, this._order.recordRemoval(entry))
  }

  /** Deletes an endpoint of which is not known whether the store has removed it. */
  private _drop (id: string, origin: EndpointOrigin): void {
    const entry = this._entries.get(id)
    if (entry === undefined) return
    this._order.forget(id)
    this._deleteEntry(entry, origin, undefined)
  }

  private _deleteEntry (entry: EndpointEntry, { source, asOf }: EndpointOrigin, removal: EndpointRemoval | undefined): void {
    const { id, service, startedAt, revision } = entry
    this._lapsed.delete(id)
    this._entries.delete(id)
    if (startedAt === UNKNOWN_START) this._leaving.delete(id)
    this._departed.set(id, { entry, expiresAt: this._clock.now() + DEPARTED_RETENTION_MS })
    this._recordChange({ id, entry: undefined, removal })
    const ageMs = asOf === undefined ? undefined : Math.round(this._clock.now() - asOf)
    this._log.info('endpoint-gone', { endpoint: id, service, revision, source, age_ms: ageMs, removed: removal !== undefined })
    for (const listener of this._listeners) listener.endpointRemoved(entry)
  }

  private _expireDeparted (id: string, entry: EndpointEntry): void {
    this._departed.delete(id)
    for (const listener of this._listeners) listener.endpointExpired(entry)
  }

  private _recordChange (change: EndpointChange): void {
    this._revision += 1
    this._changes.push(change)
    if (this._changes.length > MAXIMUM_CHANGES) this._changes.splice(0, MAXIMUM_CHANGES / 2)
    this._byService = undefined
  }

  private _endpointsOf (service: string): ServiceEndpoints | undefined {
    this.removeExpired()
    if (this._indexedEvacuations !== this._evacuations.revision) this._byService = undefined
    this._byService ??= this._indexByService()
    return this._byService.get(service)
  }

  private _indexByService (): Map<string, ServiceEndpoints> {
    const byService = new Map<string, ServiceEndpoints>()
    this._indexedEvacuations = this._evacuations.revision
    for (const entry of this._entries.values()) {
      if (entry.isDraining) continue
      const endpoints = byService.get(entry.service) ?? { ready: [], evacuated: [] }
      byService.set(entry.service, endpoints)
      if (this.isEvacuated(entry)) endpoints.evacuated.push(entry)
      else endpoints.ready.push(entry)
    }
    return byService
  }
}

function isSameEntry (left: EndpointEntry, right: EndpointEntry): boolean {
  return left.service === right.service && left.address === right.address && left.slots === right.slots &&
    left.isDraining === right.isDraining && left.startedAt === right.startedAt &&
    left.availabilityZone === right.availabilityZone
}
