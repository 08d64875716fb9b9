import type { RegistrationRecorder } from '../membership/registration-recorder.js'
import type { EndpointEntry } from '../model/endpoint-entry.js'
import { ColdCause } from './cold-cause.js'
import type { ColdNote } from './cold-note.js'
import { ColdPresumptions } from './cold-presumptions.js'
import { permitRate } from './permit-rate.js'
import { RegisteredWarmUps } from './registered-warm-ups.js'
import type { WarmUpTableOptions } from './warm-up-table-options.js'

/** Time in which the rate limit doubles after the end of a cold time. */
const DOUBLING_MS = 500
/** Time after the end of a cold time at which the limit is lifted at the latest. */
const RETURN_TO_FULL_SHARE_MS = 2_000

/** An endpoint that is cold, or was until recently. */
interface TrackedEndpoint {
  readonly endpoint: EndpointEntry
  /** Whether the log says that it is cold. */
  isLogged: boolean
}

/**
 * Cold endpoints of services with a warm-up rule. An endpoint is cold while its registration says so, or while it is presumed to be.
 * Its rate limit doubles again and again afterwards, until it takes its full share.
 */
export class WarmUpTable implements RegistrationRecorder {
  private readonly _options: WarmUpTableOptions
  private readonly _registered: RegisteredWarmUps
  private readonly _presumptions: ColdPresumptions
  /** All endpoints that are cold or were until recently, so that nothing is computed for the others. */
  private readonly _tracked = new Map<string, TrackedEndpoint>()
  private _onCold: (endpointId: string) => void = () => undefined
  private _onNews: () => void = () => undefined
  private _capacityOf: (endpoint: EndpointEntry) => number = () => Infinity

  /**
   * @param options endpoints, rules and settings
   */
  constructor (options: WarmUpTableOptions) {
    this._options = options
    this._registered = new RegisteredWarmUps(options.clock)
    this._presumptions = new ColdPresumptions(options.clock)
  }

  /** Number that rises with each change of what `notes` returns. */
  get revision (): number {
    return this._presumptions.revision
  }

  /** Whether no permits are issued for endpoints that are cold or were until recently, which holds nearly always. */
  get isEmpty (): boolean {
    for (const { endpoint } of this._tracked.values()) if (this.permitRateOf(endpoint) !== undefined) return false
    return true
  }

  /** Ids of the endpoints that have a limit. */
  get limitedIds (): readonly string[] {
    return [...this._tracked].filter(([, { endpoint }]) => this.limitOf(endpoint) !== undefined).map(([id]) => id)
  }

  /** Number of registered endpoints that are cold. */
  get coldCount (): number {
    const { endpoints } = this._options
    return [...this._tracked.values()].filter(({ endpoint }) => this.isCold(endpoint) && endpoints.find(endpoint.id)?.startedAt === endpoint.startedAt).length
  }

  /**
   * Sets the listener that is called when an endpoint has become cold; it replaces the previous one.
   * @param onCold listener; it is called with the id of the endpoint
   */
  onCold (onCold: (endpointId: string) => void): void {
    this._onCold = onCold
  }

  /**
   * Sets the listener that is called when the followed router should hear of a presumption soon; it replaces the previous one.
   * @param onNews listener; it is called without arguments
   */
  onNews (onNews: () => void): void {
    this._onNews = onNews
  }

  /**
   * Sets how much an endpoint can take with all of its slots. A limit above that is lifted.
   * @param capacityOf returns requests a second; Infinity if unknown
   */
  setCapacityOf (capacityOf: (endpoint: EndpointEntry) => number): void {
    this._capacityOf = capacityOf
  }

  /**
   * Returns whether an endpoint is cold.
   * @param endpoint the endpoint
   */
  isCold (endpoint: EndpointEntry): boolean {
    if (!this._tracked.has(endpoint.id)) return false
    return this._coldUntil(endpoint) > this._options.clock.now() && this._options.ruleOf(endpoint.service) !== undefined
  }

  /**
   * Returns the rate limit of an endpoint that is cold or was until recently, in requests a second; undefined for others.
   * @param endpoint the endpoint
   */
  limitOf (endpoint: EndpointEntry): number | undefined {
    const rate = this.permitRateOf(endpoint)
    if (rate === undefined || this.isCold(endpoint)) return rate
    return rate < this._capacityOf(endpoint) ? rate : undefined
  }

  /**
   * Returns the rate at which permits for an endpoint are issued, in requests a second; undefined if it needs none. Permits are issued for
   * some time after the limit of this router has ended, since other routers learn of cold times, and of their ends, later.
   * @param endpoint the endpoint
   */
  permitRateOf (endpoint: EndpointEntry): number | undefined {
    if (!this._tracked.has(endpoint.id)) return undefined
    const rule = this._options.ruleOf(endpoint.service)
    if (rule === undefined) return undefined
    const warmMs = this._options.clock.now() - this._coldUntil(endpoint)
    if (warmMs >= RETURN_TO_FULL_SHARE_MS) return undefined
    const rate = permitRate(rule, this._options.bounds())
    return warmMs < 0 ? rate : rate * 2 ** (1 + Math.floor(warmMs / DOUBLING_MS))
  }

  /**
   * Records a registration, also one that was received before.
   * @param entry the registration
   * @param current registration that is in force; undefined if the endpoint is new
   * @returns whether routers that know the registration in force have to hear of this one
   */
  record (entry: EndpointEntry, current: EndpointEntry | undefined): boolean {
    const tracked = this._tracked.get(entry.id)
    if (tracked !== undefined && tracked.endpoint.startedAt !== entry.startedAt) this._tracked.delete(entry.id)
    return this._update(entry.id, entry, ColdCause.REGISTRATION, () => {
      const isNewer = current?.startedAt === entry.startedAt && entry.revision > current.revision
      if (isNewer) this._presumptions.registered(entry)
      return this._registered.record(entry, current)
    })
  }

  /**
   * Returns a registration as other routers have to hear it: with the cold time that is left now.
   * @param entry the registration
   */
  withTimeLeft (entry: EndpointEntry): EndpointEntry {
    if (entry.warmUpLeftMs === undefined) return entry
    const leftMs = Math.ceil(this._registered.coldUntil(entry) - this._options.clock.now())
    return { ...entry, warmUpLeftMs: leftMs > 0 ? leftMs : undefined }
  }

  /**
   * Presumes that an endpoint is cold because a connection to it was lost, or it has refused one.
   * @param endpoint the endpoint
   */
  connectionLost (endpoint: EndpointEntry): void {
    const rule = this._options.ruleOf(endpoint.service)
    // A call to an earlier incarnation tells nothing of the present one.
    if (rule === undefined || this._options.endpoints.find(endpoint.id)?.startedAt !== endpoint.startedAt) return
    const isNews = this._update(endpoint.id, endpoint, ColdCause.CONNECTION_LOST, () => this._presumptions.connectionLost(endpoint, rule.durationMs))
    if (isNews) this._onNews()
  }

  /**
   * Records a complete response of an endpoint. After a lost connection, the warm-up time counts from there.
   * @param endpoint the endpoint
   */
  succeeded (endpoint: EndpointEntry): void {
    if (!this._tracked.has(endpoint.id)) return
    const rule = this._options.ruleOf(endpoint.service)
    if (rule !== undefined && this._presumptions.succeeded(endpoint, rule.durationMs)) this._onNews()
  }

  /**
   * Presumes that all endpoints of an availability zone are cold whose services have a warm-up rule. To be called when the evacuation of
   * the zone ends.
   * @param zone name of the zone
   */
  presumeZoneCold (zone: string): void {
    for (const endpoint of this._options.endpoints.entries) {
      const rule = endpoint.availabilityZone === zone ? this._options.ruleOf(endpoint.service) : undefined
      if (rule !== undefined) this._update(endpoint.id, endpoint, ColdCause.EVACUATION_ENDED, () => this._presumptions.presume(endpoint, rule.durationMs))
    }
  }

  /** Returns all presumptions, for other routers. */
  notes (): readonly ColdNote[] {
    return this._presumptions.notes()
  }

  /**
   * Returns what this router and its followers have observed since a time, for the router that this one follows.
   * @param time time of the previous report, by the clock of this router
   */
  observedSince (time: number): readonly ColdNote[] {
    return this._presumptions.observedSince(time)
  }

  /**
   * Applies the presumptions of a router that follows this one.
   * @param notes the presumptions
   */
  report (notes: readonly ColdNote[]): void {
    if (this._apply(notes, this._options.clock.now(), false)) this._onNews()
  }

  /**
   * Applies the presumptions of a router that this one may not follow.
   * @param notes the presumptions
   * @param sentAt time at which they were requested
   */
  learn (notes: readonly ColdNote[], sentAt: number): void {
    this._apply(notes, sentAt, true)
  }

  /**
   * Ends the presumptions that the followed router does not have, except for own ones that it may not know yet.
   * @param notes all presumptions of the followed router
   */
  retain (notes: readonly ColdNote[]): void {
    this._presumptions.retain(notes)
  }

  /** Forgets what is over, and logs endpoints that are warm again. To be called regularly. */
  removeExpired (): void {
    this._registered.removeExpired()
    this._presumptions.removeExpired()
    const now = this._options.clock.now()
    for (const [id, tracked] of this._tracked) {
      this._noticeWarm(id)
      if (now - this._coldUntil(tracked.endpoint) >= RETURN_TO_FULL_SHARE_MS) this._tracked.delete(id)
    }
  }

  private _coldUntil (endpoint: EndpointEntry): number {
    return Math.max(this._registered.coldUntil(endpoint), this._presumptions.coldUntil(endpoint))
  }

  private _apply (notes: readonly ColdNote[], sentAt: number, isFromUpstream: boolean): boolean {
    const changes = notes.map((note) => {
      const endpoint = this._options.endpoints.find(note.endpointId)
      return this._update(note.endpointId, endpoint, ColdCause.OTHER_ROUTER, () => this._presumptions.apply(note, sentAt, isFromUpstream))
    })
    return changes.includes(true)
  }

  /** Changes what is known of an endpoint. An end of its cold time that was not logged yet is logged before, and a new cold time after that. */
  private _update<Result> (id: string, registered: EndpointEntry | undefined, cause: ColdCause, change: () => Result): Result {
    this._noticeWarm(id)
    const result = change()
    if (registered !== undefined) this._track(registered, cause)
    return result
  }

  private _track (endpoint: EndpointEntry, cause: ColdCause): void {
    const { clock, log, ruleOf } = this._options
    const leftMs = this._coldUntil(endpoint) - clock.now()
    if (leftMs <= 0) return
    const known = this._tracked.get(endpoint.id)
    const isSameIncarnation = known?.endpoint.startedAt === endpoint.startedAt
    const hasRule = ruleOf(endpoint.service) !== undefined
    this._tracked.set(endpoint.id, { endpoint, isLogged: hasRule })
    if (!hasRule || (isSameIncarnation && known.isLogged)) return
    log.info('endpoint-cold', { endpoint: endpoint.id, service: endpoint.service, left_ms: Math.round(leftMs), cause })
    this._onCold(endpoint.id)
  }

  /** Logs that an endpoint is warm again if it was cold before. */
  private _noticeWarm (id: string): void {
    const tracked = this._tracked.get(id)
    if (tracked === undefined || !tracked.isLogged || this._coldUntil(tracked.endpoint) > this._options.clock.now()) return
    tracked.isLogged = false
    this._options.log.info('endpoint-warm', { endpoint: id, service: tracked.endpoint.service })
  }
}
