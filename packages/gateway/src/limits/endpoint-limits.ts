import type { EventLog } from '@mimosarock/coordination/event-log.js'
import type { ElapsedClock } from '../model/elapsed-clock.js'
import type { EndpointEntry } from '../model/endpoint-entry.js'
import type { KnownLimit } from './known-limit.js'
import type { LimitNote } from './limit-note.js'
import { ObservationTimes } from './observation-times.js'
import type { RateLimits } from './rate-limits.js'

/** Source of statements that this router has read in a response itself. */
const RESPONSE = 'response'
/** Source of the end of a limit that nobody has repeated for long. */
const EXPIRY = 'expiry'
/** Time after which a limit is forgotten that no endpoint and no router has repeated, since the endpoint may be gone. */
const LIMIT_LIFETIME_MS = 60_000
/**
 * Rate of permits below which no limit goes, in requests a second: only a response shows that a limit has ended, even one of
 * no requests at all.
 */
const MINIMUM_PER_SECOND = 0.25

/**
 * Rate limits that endpoints state in their responses. The newest statement counts, whichever router has read it: routers report
 * what they read to the router that they follow, and adopt what that one knows. A statement outlasts the removal of its endpoint: an older one that
 * another router tells must not take its place, and the endpoint may return.
 */
export class EndpointLimits implements RateLimits {
  private readonly _known = new Map<string, KnownLimit>()
  private readonly _clock: ElapsedClock
  private readonly _log: EventLog
  private _revision = 0
  private _onNews: () => void = () => undefined

  /**
   * @param clock dates the statements
   * @param log receives an entry for each limit that is new, has changed or has ended
   */
  constructor (clock: ElapsedClock, log: EventLog) {
    this._clock = clock
    this._log = log
  }

  /** Number that rises with each limit that is new, has changed or has ended; 0 if there was none. */
  get revision (): number {
    return this._revision
  }

  /** Ids of the endpoints that have a limit. */
  get limitedIds (): readonly string[] {
    return [...this._known].filter(([, { requestsPerSecond }]) => requestsPerSecond !== undefined).map(([id]) => id)
  }

  /** Whether nothing is known of any limit, which holds nearly always. */
  get isEmpty (): boolean {
    return this._known.size === 0
  }

  /**
   * Sets the listener that is called when the followed router should hear of a limit soon; it replaces the previous one.
   * @param onNews listener; it is called without arguments
   */
  onNews (onNews: () => void): void {
    this._onNews = onNews
  }

  /**
   * Returns the requests a second that an endpoint takes from all routers together; undefined if it has no limit.
   * @param endpoint the endpoint
   */
  limitOf ({ id, startedAt }: EndpointEntry): number | undefined {
    const known = this._known.get(id)
    return known?.startedAt === startedAt ? known.requestsPerSecond : undefined
  }

  /**
   * Returns the rate at which permits for an endpoint are issued, in requests a second; undefined if it has no limit.
   * @param endpoint the endpoint
   */
  permitRateOf (endpoint: EndpointEntry): number | undefined {
    const limit = this.limitOf(endpoint)
    return limit === undefined ? undefined : Math.max(MINIMUM_PER_SECOND, limit)
  }

  /**
   * Records what a response of an endpoint states.
   * @param endpoint the endpoint
   * @param requestsPerSecond its limit; undefined if it states none
   */
  record (endpoint: EndpointEntry, requestsPerSecond: number | undefined): void {
    if (requestsPerSecond === undefined && this.limitOf(endpoint) === undefined) return
    const { id, startedAt } = endpoint
    const isNews = this._set(id, { startedAt, requestsPerSecond, observedAt: this._clock.now(), isFromUpstream: false }, RESPONSE)
    if (isNews) this._onNews()
  }

  /**
   * Applies statements that a router which follows this one has read, or heard from its followers.
   * @param notes the statements
   * @param source name of that router
   */
  report (notes: readonly LimitNote[], source: string): void {
    const isNews = notes.map((note) => this._applyNewer(note, this._clock.now(), false, source))
    if (isNews.includes(true)) this._onNews()
  }

  /**
   * Applies statements known to a router that this one may not follow.
   * @param notes the statements
   * @param sentAt time at which they were requested
   * @param source name of that router
   */
  learn (notes: readonly LimitNote[], sentAt: number, source: string): void {
    for (const note of notes) this._applyNewer(note, sentAt, true, source)
  }

  /**
   * Drops what the followed router does not know, except for what this router has just observed.
   * @param notes all statements known to the followed router
   * @param source name of that router
   */
  retain (notes: readonly LimitNote[], source: string): void {
    const upstream = new Map(notes.map((note) => [note.endpointId, note]))
    const oldestOwn = this._clock.now() - ObservationTimes.OWN_PRECEDENCE_MS
    for (const [id, known] of [...this._known]) {
      if (!known.isFromUpstream && known.observedAt >= oldestOwn) continue
      const note = upstream.get(id)
      if (note === undefined) this._forget(id, source)
      else this._set(id, { ...known, startedAt: note.startedAt, requestsPerSecond: note.requestsPerSecond, isFromUpstream: true }, source)
    }
  }

  /** Returns all that is known, for other routers. */
  notes (): readonly LimitNote[] {
    return this._toNotes([...this._known])
  }

  /**
   * Returns what this router and its followers have observed since a time, for the router that this one follows.
   * @param time time of the previous report, by the clock of this router
   */
  observedSince (time: number): readonly LimitNote[] {
    return this._toNotes([...this._known].filter(([, known]) => !known.isFromUpstream && known.observedAt > time))
  }

  /** Forgets limits that ended some time ago, and those that nobody has repeated for long. To be called regularly. */
  removeExpired (): void {
    const now = this._clock.now()
    for (const [id, { requestsPerSecond, observedAt, heardAt }] of this._known) {
      const isEnded = requestsPerSecond === undefined && now - observedAt >= ObservationTimes.ENDED_RETENTION_MS
      if (isEnded || now - heardAt >= LIMIT_LIFETIME_MS) this._forget(id, EXPIRY)
    }
  }

  private _toNotes (known: readonly (readonly [string, KnownLimit])[]): readonly LimitNote[] {
    const now = this._clock.now()
    return known.map(([endpointId, { startedAt, requestsPerSecond, observedAt }]) => {
      return { endpointId, startedAt, requestsPerSecond, ageMs: Math.max(0, Math.round(now - observedAt)) }
    })
  }

  private _applyNewer ({ endpointId, startedAt, requestsPerSecond, ageMs }: LimitNote, receivedAt: number, isFromUpstream: boolean, source: string): boolean {
    const observedAt = receivedAt - ageMs
    const known = this._known.get(endpointId)
    if (known !== undefined && (known.observedAt >= observedAt || known.startedAt > startedAt)) return false
    if (known === undefined && requestsPerSecond === undefined) return false
    return this._set(endpointId, { startedAt, requestsPerSecond, observedAt, isFromUpstream }, source)
  }

  /** Replaces what is known of an endpoint; returns whether its limit is another one than before. */
  private _set (endpointId: string, limit: Omit<KnownLimit, 'heardAt'>, source: string): boolean {
    const known = this._known.get(endpointId)
    this._known.set(endpointId, { ...limit, heardAt: this._clock.now() })
    const before = known?.startedAt === limit.startedAt ? known.requestsPerSecond : undefined
    if (before === limit.requestsPerSecond) return false
    this._recordChange(endpointId, limit.requestsPerSecond, before, source)
    return true
  }

  private _forget (endpointId: string, source: string): void {
    const before = this._known.get(endpointId)?.requestsPerSecond
    this._known.delete(endpointId)
    if (before !== undefined) this._recordChange(endpointId, undefined, before, source)
  }

  private _recordChange (endpoint: string, limit: number | undefined, before: number | undefined, source: string): void {
    this._revision += 1
    this._log.info('endpoint-limit', { endpoint, requests_per_second: limit ?? 'none', before: before ?? 'none', source })
  }
}
