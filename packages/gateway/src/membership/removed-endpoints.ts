import type { ElapsedClock } from '../model/elapsed-clock.js'
import type { EndpointEntry } from '../model/endpoint-entry.js'

/** How long a removal is remembered; a store comes back from a copy that is some seconds old. */
const RETENTION_MS = 30_000

/** A removed endpoint. */
interface Removal {
  readonly entry: EndpointEntry
  readonly expiresAt: number
}

/** Remembers removed endpoints, to tell registrations from before a removal from those that the endpoint made since. */
export class RemovedEndpoints {
  private readonly _removals = new Map<string, Removal>()
  private readonly _clock: ElapsedClock

  /**
   * @param clock clock for the retention
   */
  constructor (clock: ElapsedClock) {
    this._clock = clock
  }

  /**
   * Records the removal of an endpoint.
   * @param entry its last registration
   */
  add (entry: EndpointEntry): void {
    this._removeExpired()
    this._removals.delete(entry.id)
    this._removals.set(entry.id, { entry, expiresAt: this._clock.now() + RETENTION_MS })
  }

  /**
   * Whether a registration was made before the endpoint was removed.
   * @param entry the registration
   */
  precedesRemoval (entry: EndpointEntry): boolean {
    const removal = this._removals.get(entry.id)
    return removal !== undefined && removal.entry.startedAt === entry.startedAt && entry.revision <= removal.entry.revision
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
