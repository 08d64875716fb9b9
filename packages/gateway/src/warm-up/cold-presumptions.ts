import { ObservationTimes } from '../limits/observation-times.js'
import type { ElapsedClock } from '../model/elapsed-clock.js'
import type { EndpointEntry } from '../model/endpoint-entry.js'
import type { ColdNote } from './cold-note.js'

/** Time in which further losses of connections change nothing: an endpoint that is down refuses many, and each change is told to all routers. */
const REFRESH_MS = 2_500
/** Time within which an endpoint that lost its connections returns or is removed by the store. */
const RETURN_MS = 5_000
/**
 * Time after an observation within which a registration may be from before it: it was written, read by the reader and passed on by two
 * routers, each with a delay.
 */
const REGISTRATION_DELAY_MS = 2_000
/** Difference between two ends of a presumption from which other routers have to hear of it. */
const NEWS_MS = 500

/** What is presumed of an endpoint. */
interface Presumption {
  readonly startedAt: number
  readonly coldUntil: number
  readonly observedAt: number
  /** Whether the warm-up time counts from the next success. */
  readonly isAwaitingSuccess: boolean
  /** Whether the followed router needs no report of it. */
  readonly isFromUpstream: boolean
}

/** Endpoints that are presumed to be cold although their registration does not say so. Of several observations, the newest counts. */
export class ColdPresumptions {
  private readonly _known = new Map<string, Presumption>()
  private readonly _clock: ElapsedClock
  private _revision = 0

  /**
   * @param clock clock of the router
   */
  constructor (clock: ElapsedClock) {
    this._clock = clock
  }

  /** Number that rises with each presumption that begins, ends or changes; 0 if there was none. */
  get revision (): number {
    return this._revision
  }

  /**
   * Presumes that an endpoint is cold because a connection to it was lost or refused. The warm-up time counts from the next success.
   * @param endpoint the endpoint
   * @param durationMs warm-up time
   * @returns whether this is news for the followed router
   */
  connectionLost ({ id, startedAt }: EndpointEntry, durationMs: number): boolean {
    const now = this._clock.now()
    const known = this._known.get(id)
    const isKnown = known?.startedAt === startedAt && known.isAwaitingSuccess
    if (isKnown && known.coldUntil - now > durationMs + RETURN_MS - REFRESH_MS) return false
    return this._set(id, { startedAt, coldUntil: now + RETURN_MS + durationMs, observedAt: now, isAwaitingSuccess: true, isFromUpstream: false })
  }

  /**
   * Presumes that an endpoint is cold for its warm-up time from now on. Every router presumes it by itself, so it is not reported.
   * @param endpoint the endpoint
   * @param durationMs warm-up time
   */
  presume ({ id, startedAt }: EndpointEntry, durationMs: number): void {
    const now = this._clock.now()
    this._set(id, { startedAt, coldUntil: now + durationMs, observedAt: now, isAwaitingSuccess: false, isFromUpstream: true })
  }

  /**
   * Records a success, from which the warm-up time counts if a connection was lost before.
   * @param endpoint the endpoint
   * @param durationMs warm-up time
   * @returns whether this is news for the followed router
   */
  succeeded ({ id, startedAt }: EndpointEntry, durationMs: number): boolean {
    const known = this._known.get(id)
    const now = this._clock.now()
    if (known?.startedAt !== startedAt || !known.isAwaitingSuccess || known.coldUntil <= now) return false
    return this._set(id, { startedAt, coldUntil: now + durationMs, observedAt: now, isAwaitingSuccess: false, isFromUpstream: false })
  }

  /**
   * Ends the presumption of an endpoint whose newer registration is certainly from after the observation.
   * @param endpoint newer registration
   */
  registered ({ id, startedAt }: EndpointEntry): void {
    const known = this._known.get(id)
    const now = this._clock.now()
    if (known?.startedAt !== startedAt || known.coldUntil <= now || now - known.observedAt < REGISTRATION_DELAY_MS) return
    this._set(id, { startedAt, coldUntil: now, observedAt: now, isAwaitingSuccess: false, isFromUpstream: known.isFromUpstream })
  }

  /**
   * Returns the time until which an endpoint is presumed to be cold; -Infinity if it is not.
   * @param endpoint the endpoint
   */
  coldUntil ({ id, startedAt }: EndpointEntry): number {
    const known = this._known.get(id)
    return known?.startedAt === startedAt ? known.coldUntil : -Infinity
  }

  /** Returns all presumptions, for other routers. */
  notes (): readonly ColdNote[] {
    return this._toNotes([...this._known])
  }

  /**
   * Returns what this router and its followers have observed since a time.
   * @param time time of the previous report, by the clock of this router
   */
  observedSince (time: number): readonly ColdNote[] {
    return this._toNotes([...this._known].filter(([, known]) => !known.isFromUpstream && known.observedAt > time))
  }

  /**
   * Applies a presumption of another router if it is newer.
   * @param note the presumption
   * @param sentAt time at which it was requested or received
   * @param isFromUpstream whether it comes from a router to which this one does not report
   * @returns whether it is news
   */
  apply ({ endpointId, startedAt, leftMs, ageMs }: ColdNote, sentAt: number, isFromUpstream: boolean): boolean {
    const now = this._clock.now()
    const known = this._known.get(endpointId)
    const observedAt = sentAt - ageMs
    if (known !== undefined && (known.observedAt >= observedAt || known.startedAt > startedAt)) return false
    if (known === undefined && leftMs === 0) return false
    // What this router has observed comes back from the followed one, dated by its clock.
    if (known?.startedAt === startedAt && Math.abs(now + leftMs - known.coldUntil) <= NEWS_MS) return false
    return this._set(endpointId, { startedAt, coldUntil: now + leftMs, observedAt, isAwaitingSuccess: false, isFromUpstream })
  }

  /**
   * Ends the presumptions that the followed router does not have, except for own ones that it may not know yet.
   * @param notes all presumptions of the followed router
   */
  retain (notes: readonly ColdNote[]): void {
    const ids = new Set(notes.map(({ endpointId }) => endpointId))
    const now = this._clock.now()
    for (const [id, known] of this._known) {
      if (ids.has(id) || known.coldUntil <= now || now - known.observedAt < ObservationTimes.OWN_PRECEDENCE_MS) continue
      this._set(id, { ...known, coldUntil: now, isAwaitingSuccess: false })
    }
  }

  /** Forgets presumptions that have ended some time ago. To be called regularly. */
  removeExpired (): void {
    const now = this._clock.now()
    for (const [id, { coldUntil }] of this._known) if (now - coldUntil >= ObservationTimes.ENDED_RETENTION_MS) this._known.delete(id)
  }

  private _toNotes (known: readonly (readonly [string, Presumption])[]): readonly ColdNote[] {
    const now = this._clock.now()
    return known.map(([endpointId, { startedAt, coldUntil, observedAt }]) => {
      return { endpointId, startedAt, leftMs: Math.max(0, Math.ceil(coldUntil - now)), ageMs: Math.max(0, Math.round(now - observedAt)) }
    })
  }

  /** Replaces what is presumed of an endpoint; returns whether its cold time ends at another time than before. */
  private _set (id: string, presumption: Presumption): boolean {
    const known = this._known.get(id)
    this._known.set(id, presumption)
    const now = this._clock.now()
    const before = known?.startedAt === presumption.startedAt ? Math.max(known.coldUntil, now) : now
    if (Math.abs(Math.max(presumption.coldUntil, now) - before) <= NEWS_MS) return false
    this._revision += 1
    return true
  }
}
