import type { EventLog } from '@mimosarock/coordination/event-log.js'
import type { ElapsedClock } from '../model/elapsed-clock.js'
import type { EndpointEntry } from '../model/endpoint-entry.js'
import type { EndpointRemoval } from './endpoint-removal.js'
import { isEarlierRegistration } from './is-earlier-registration.js'
import { RemovedEndpoints } from './removed-endpoints.js'

/**
 * How long after a change of the store's era a registration from before a removal is withheld. By then the store has removed
 * an endpoint that does not register again: it does so after three heartbeats, which come once a second.
 */
const WITHHOLDING_MS = 4_500
/** Time within which the store carries out the registrations of an endpoint that has started anew. */
const LATE_REGISTRATION_MS = 10_000

/**
 * Tells registrations that are older than what is known of their endpoint from those that count. The store may carry out a registration
 * late, after a later one or after the removal of the endpoint, and may come back from a copy that holds older ones.
 *
 * After the store has come back from an older copy, registrations that it lists from before a removal are withheld, until the endpoint
 * registers again or the store would have removed it.
 */
export class RegistrationOrder {
  private readonly _clock: ElapsedClock
  private readonly _log: EventLog
  private readonly _removed: RemovedEndpoints
  /** Registrations from before a removal, by endpoint id. */
  private readonly _withheld = new Map<string, EndpointEntry>()
  private _withholdingEnd = -Infinity
  /** Last registrations that this router has read from the store itself, by endpoint id. */
  private readonly _read = new Map<string, EndpointRemoval>()
  /** Times of the last registrations of present endpoints, by endpoint id. */
  private readonly _registeredAt = new Map<string, number>()

  /**
   * @param clock clock of the router
   * @param log logs withheld and outdated registrations
   */
  constructor (clock: ElapsedClock, log: EventLog) {
    this._clock = clock
    this._log = log
    this._removed = new RemovedEndpoints(clock)
  }

  /** Endpoints that were removed a short time ago. */
  get removals (): readonly EndpointRemoval[] {
    return this._removed.all
  }

  /** Whether a registration is withheld. */
  get isWithholding (): boolean {
    return this._withheld.size > 0
  }

  /** Prepares for content of the store that is older than what it held before. */
  storeEraChanged (): void {
    this._withholdingEnd = this._clock.now() + WITHHOLDING_MS
  }

  /**
   * Whether a registration is older than what is known of the endpoint. Withholds it if it may count later.
   * @param entry the registration
   * @param current the registration that is in force; undefined if the endpoint is not present
   */
  isOutdated (entry: EndpointEntry, current: EndpointEntry | undefined): boolean {
    if (current !== undefined) return isEarlierRegistration(entry, current) && !this._replacesSilent(entry, current)
    if (this._clock.now() >= this._withholdingEnd || !this._removed.mayPrecedeRemoval(entry)) return this._precedesRemoval(entry)
    if (!this._withheld.has(entry.id)) this._log.info('endpoint-withheld', { endpoint: entry.id, service: entry.service })
    this._withheld.set(entry.id, entry)
    return true
  }

  /**
   * Records a registration that is in force.
   * @param entry the registration
   */
  recordRegistration ({ id }: EndpointEntry): void {
    this._withheld.delete(id)
    this._registeredAt.set(id, this._clock.now())
  }

  /**
   * Records a registration that this router has read from the store.
   * @param entry the registration
   */
  recordRead ({ id, startedAt, revision }: EndpointEntry): void {
    this._read.set(id, { id, startedAt, revision })
  }

  /** Prepares for registrations that are read anew. */
  forgetRead (): void {
    this._read.clear()
  }

  /**
   * Records a removal that this router has read from the store: that of the registration which it has read last. Another router may have told a later registration, which the
   * store lists after the removal.
   * @param id id of the endpoint
   * @param current the registration that is in force; undefined if the endpoint is not present
   * @returns whether the registration in force is later than the removal
   */
  learnReadRemoval (id: string, current: EndpointEntry | undefined): boolean {
    const read = this._read.get(id)
    this._read.delete(id)
    if (read === undefined || current === undefined || !isEarlierRegistration(read, current)) return false
    this._removed.add(read)
    this._log.info('endpoint-removal-outdated', { endpoint: id, service: current.service, revision: read.revision, newer: current.revision })
    return true
  }

  /**
   * Records that the store has removed an endpoint.
   * @param registration its last registration, as far as it is known
   * @returns the removal with the newest registration that is known
   */
  recordRemoval ({ id, startedAt, revision }: EndpointRemoval): EndpointRemoval {
    this.forget(id)
    return this._removed.add({ id, startedAt, revision })
  }

  /**
   * Forgets an endpoint that is not present any more.
   * @param id id of the endpoint
   */
  forget (id: string): void {
    this._registeredAt.delete(id)
  }

  /**
   * Records a removal that another router knows.
   * @param removal the removal
   * @param current the registration that is in force here; undefined if the endpoint is not present
   * @returns whether the removal is later than that registration
   */
  learnRemoval (removal: EndpointRemoval, current: EndpointEntry | undefined): boolean {
    this._removed.add(removal)
    return current !== undefined && this._removed.precedesRemoval(current)
  }

  /**
   * Drops a withheld registration that the store has removed.
   * @param id id of the endpoint
   */
  dropWithheld (id: string): void {
    this._withheld.delete(id)
  }

  /**
   * Drops the withheld registrations that the store does not list any more.
   * @param listedIds ids of the endpoints that it lists
   */
  retainWithheld (listedIds: ReadonlySet<string>): void {
    for (const id of this._withheld.keys()) if (!listedIds.has(id)) this._withheld.delete(id)
  }

  /** Returns the withheld registrations if they count from now on, and forgets them. */
  releaseWithheld (): readonly EndpointEntry[] {
    if (this._clock.now() < this._withholdingEnd) return []
    const entries = [...this._withheld.values()]
    this._withheld.clear()
    return entries
  }

  /** Whether an entry is of an earlier incarnation that registers although the later one has not for so long that the store would have removed it. */
  private _replacesSilent (entry: EndpointEntry, current: EndpointEntry): boolean {
    const registeredAt = this._registeredAt.get(entry.id) ?? -Infinity
    return entry.startedAt < current.startedAt && this._clock.now() - registeredAt >= LATE_REGISTRATION_MS
  }

  /** Whether the store has carried out a registration late, after it had removed the endpoint. It says nothing of the endpoint as it is now. */
  private _precedesRemoval (entry: EndpointEntry): boolean {
    if (!this._removed.precedesRemoval(entry)) return false
    this._log.info('endpoint-outdated', { endpoint: entry.id, service: entry.service, revision: entry.revision })
    return true
  }
}
