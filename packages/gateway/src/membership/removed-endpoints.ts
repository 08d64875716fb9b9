import type { ElapsedClock } from '../model/elapsed-clock.js'
import type { EndpointEntry } from '../model/endpoint-entry.js'
import type { EndpointRemoval } from './endpoint-removal.js'
import { isEarlierRegistration } from './is-earlier-registration.js'

/**
 * How long a removal is remembered. A store comes back from a copy that is some seconds old, and may carry out a registration seconds
 * after the endpoint has sent it.
 */
const RETENTION_MS = 30_000
/** Revision of a registration that states none. */
const UNKNOWN_REVISION = 0

/** A removed endpoint. */
interface RememberedRemoval {
  readonly removal: EndpointRemoval
  readonly expiresAt: number
}

/** Remembers removed endpoints, to tell registrations from before a removal from those that the endpoint made since. */
export class RemovedEndpoints {
  private readonly _removals = new Map<string, RememberedRemoval>()
  private readonly _clock: ElapsedClock

  /**
   * @param clock clock for the retention
   */
  constructor (clock: ElapsedClock) {
    this._clock = clock
  }

  /** The removals that are remembered. */
  get all (): readonly EndpointRemoval[] {
    this._removeExpired()
    return [...this._removals.values()].map(({ removal }) => removal)
  }

  /**
   * Records the removal of an endpoint. Of several, the one of the newest registration is remembered.
   * @param removal the removal
   * @returns the one that is remembered
   */
  add (removal: EndpointRemoval): EndpointRemoval {
    this._removeExpired()
    const known = this.find(removal.id)
    const newest = known !== undefined && isEarlierRegistration(removal, known) ? known : removal
    this._removals.delete(removal.id)
    this._removals.set(removal.id, { removal: newest, expiresAt: this._clock.now() + RETENTION_MS })
    return newest
  }

  /**
   * Returns the removal of an endpoint; undefined if none is remembered.
   * @param id id of the endpoint
   */
  find (id: string): EndpointRemoval | undefined {
    const remembered = this._removals.get(id)
    return remembered !== undefined && this._clock.now() < remembered.expiresAt ? remembered.removal : undefined
  }

  /**
   * Whether a registration may have been made before the endpoint was removed; registrations that state no revision can't be told apart.
   * @param entry the registration
   */
  mayPrecedeRemoval (entry: EndpointEntry): boolean {
    const removal = this.find(entry.id)
    return removal !== undefined && removal.startedAt === entry.startedAt && entry.revision <= removal.revision
  }

  /**
   * Whether a registration was certainly made before the endpoint was removed: an earlier one of the same incarnation, or one of an earlier incarnation.
   * @param entry the registration
   */
  precedesRemoval (entry: EndpointEntry): boolean {
    const removal = this.find(entry.id)
    return removal !== undefined && entry.revision !== UNKNOWN_REVISION && !isEarlierRegistration(removal, entry)
  }

  /** Removals are in the order in which they expire. */
  private _removeExpired (): void {
    const now = this._clock.now()
    for (const [id, { expiresAt }] of this._removals) {
      if (now < expiresAt) return
      this._removals.delete(id)
    }
  }
}
