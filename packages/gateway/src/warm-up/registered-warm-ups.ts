import type { ElapsedClock } from '../model/elapsed-clock.js'
import type { EndpointEntry } from '../model/endpoint-entry.js'

/** Difference between two ends of a cold time from which other routers have to hear of it; less is the delay of registrations. */
const NEWS_MS = 250
/** Time after its end for which a cold time is remembered, so that the same registration does not count again after a removal. */
const RETENTION_MS = 60_000

/** Until when an incarnation is cold, by its newest registration. */
interface RegisteredWarmUp {
  readonly startedAt: number
  readonly revision: number
  readonly coldUntil: number
}

/** Cold times that registrations state. They count from the receipt of a registration, which can only overestimate them. */
export class RegisteredWarmUps {
  private readonly _known = new Map<string, RegisteredWarmUp>()
  private readonly _clock: ElapsedClock

  /**
   * @param clock clock of the router
   */
  constructor (clock: ElapsedClock) {
    this._clock = clock
  }

  /**
   * Records a registration. The same one, received again, can end the cold time earlier, but never extends it.
   * @param entry the registration
   * @param current registration that is in force; undefined if the endpoint is new
   * @returns whether routers that know the registration in force have to hear of this one
   */
  record (entry: EndpointEntry, current: EndpointEntry | undefined): boolean {
    const now = this._clock.now()
    const stated = now + (entry.warmUpLeftMs ?? 0)
    const known = this._known.get(entry.id)
    const knownUntil = known?.startedAt === entry.startedAt ? known.coldUntil : -Infinity
    const isKnown = (current !== undefined && isSameRegistration(current, entry)) ||
      (known?.startedAt === entry.startedAt && known.revision === entry.revision && entry.revision > 0)
    if (isKnown && stated >= knownUntil) return false
    if (known === undefined && entry.warmUpLeftMs === undefined) return false
    const { id, startedAt, revision } = entry
    this._known.set(id, { startedAt, revision, coldUntil: entry.warmUpLeftMs === undefined ? Math.min(knownUntil, now) : stated })
    return Math.abs(stated - Math.max(knownUntil, now)) > NEWS_MS
  }

  /**
   * Returns the time until which an endpoint is cold; -Infinity if it has not been.
   * @param endpoint the endpoint
   */
  coldUntil ({ id, startedAt }: EndpointEntry): number {
    const known = this._known.get(id)
    return known?.startedAt === startedAt ? known.coldUntil : -Infinity
  }

  /** Forgets cold times that ended long ago. To be called regularly. */
  removeExpired (): void {
    const now = this._clock.now()
    for (const [id, { coldUntil }] of this._known) if (now - coldUntil >= RETENTION_MS) this._known.delete(id)
  }
}

// Registrations without a revision differ only in what they state.
function isSameRegistration (left: EndpointEntry, right: EndpointEntry): boolean {
  if (left.startedAt !== right.startedAt || left.revision !== right.revision) return false
  return right.revision > 0 || left.warmUpLeftMs === right.warmUpLeftMs
}
