import type { ElapsedClock } from '../model/elapsed-clock.js'

/** Stands for a version whose number is not known yet. */
const UNNUMBERED = 0
/** Time for which a statement counts that the store holds a newer version of unknown number; it is repeated while that version is being read. */
const UNNUMBERED_LIFETIME_MS = 1_000
/** Time for which a statement shows that some router still has the version, so that this one can get it. */
const OBTAINABLE_LIFETIME_MS = 2_000
/** Maximum number of lacked versions whose times are kept. */
const MAXIMUM_KNOWN_VERSIONS = 64

/** A version that a router was told of. */
interface StatedVersion {
  readonly version: number
  /** Clock time at which a router that had the version stated it. */
  readonly statedAt: number
}

/**
 * The newest version of the configuration that a router knows to be in the store, while it lacks its content: the number of a version
 * reaches all routers within the intervals of sync requests, the content takes as long as the links need.
 */
export class AwaitedConfiguration {
  private readonly _clock: ElapsedClock
  private _newest: StatedVersion = { version: 0, statedAt: -Infinity }
  private _unnumberedStatedAt = -Infinity
  private _isReading = false
  private _versionInForce = 0
  private _verifiedAt = -Infinity
  private _since: number | undefined
  private _inForceKnownSince = -Infinity
  /** Times from which the lacked versions were known, to this router or another one, by number; 0 stands for one whose number is not known, while no other is. */
  private readonly _knownSince = new Map<number, number>()

  /**
   * @param clock clock of the router, which includes suspensions
   */
  constructor (clock: ElapsedClock) {
    this._clock = clock
  }

  /** Number of the version that this router lacks; 0 if it is not known yet, undefined if it lacks none. */
  get version (): number | undefined {
    const { version, statedAt } = this._newest
    // A store that has come back from an older copy may have lost a version of which only the number was heard.
    if (version > this._versionInForce && statedAt > this._verifiedAt) return version
    if (this._isReading) return UNNUMBERED
    const isUnnumbered = this._unnumberedStatedAt > this._verifiedAt && this._clock.now() - this._unnumberedStatedAt < UNNUMBERED_LIFETIME_MS
    return isUnnumbered ? UNNUMBERED : undefined
  }

  /** Whether this router lacks a version and knows its number. */
  get isNumbered (): boolean {
    return this.version !== undefined && this.version !== UNNUMBERED
  }

  /** Clock time at which a router that had the awaited version, or was reading it, stated it. */
  get statedAt (): number {
    if (this._isReading) return this._clock.now()
    return this.version === UNNUMBERED ? this._unnumberedStatedAt : this._newest.statedAt
  }

  /** Milliseconds since this router has known that it lacks a version, or its number once that is known; 0 if it lacks none. */
  get elapsedMs (): number {
    return this.version === undefined || this._since === undefined ? 0 : this._clock.now() - this._since
  }

  /**
   * Milliseconds since the first of the versions that this router lacks became known to some router, while another router has stated a moment ago that it has one or is
   * reading it; 0 if it lacks none, or if nobody seems to have it any more.
   */
  get lackedMs (): number {
    const now = this._clock.now()
    if (this.version === undefined || now - this.statedAt >= OBTAINABLE_LIFETIME_MS) return 0
    return now - this.lackingSince
  }

  /** Clock time from which the first of the versions that this router lacks was known to some router; now if it lacks none. */
  get lackingSince (): number {
    return Math.min(this._clock.now(), ...this._knownSince.values())
  }

  /** Clock time from which the version in force was known to some router, as far as this one has heard; -Infinity if there is none. */
  get inForceKnownSince (): number {
    return this._inForceKnownSince
  }

  /**
   * Records that a router has stated a version.
   * @param version number of the version; 0 if only that it is newer than the one in force is known
   * @param statedAt clock time at which a router that had it, or was reading it, stated it
   * @param knownSince clock time from which some router knew of it
   */
  hear (version: number, statedAt: number, knownSince = this._clock.now()): void {
    const before = this.version
    if (version === UNNUMBERED) this._unnumberedStatedAt = Math.max(statedAt, this._unnumberedStatedAt)
    else if (version > this._newest.version) this._newest = { version, statedAt }
    else if (version === this._newest.version && statedAt > this._newest.statedAt) this._newest = { version, statedAt }
    this._startAfter(before)
    if (this.version !== undefined && (version === UNNUMBERED || version > this._versionInForce)) this._recordKnown(version, knownSince)
  }

  /** Records that this router has begun to receive a version from the store. */
  beginReading (): void {
    const before = this.version
    this._isReading = true
    this._startAfter(before)
    this._recordKnown(UNNUMBERED, this._clock.now())
  }

  /** Records that reading a version has ended, whatever it was or whether it failed. */
  endReading (): void {
    this._isReading = false
  }

  /**
   * Records that a version was put in force.
   * @param version number of the version
   */
  putInForce (version: number): void {
    const now = this._clock.now()
    this._inForceKnownSince = this._knownSince.get(version) ?? this._knownSince.get(UNNUMBERED) ?? now
    this._versionInForce = version
    this._unnumberedStatedAt = -Infinity
    this._since = now
    for (const known of [...this._knownSince.keys()]) if (known <= version) this._knownSince.delete(known)
  }

  /**
   * Records that the store held no newer version than the one in force.
   * @param verifiedAt clock time of the check
   */
  verify (verifiedAt: number): void {
    this._verifiedAt = Math.max(verifiedAt, this._verifiedAt)
  }

  private _startAfter (before: number | undefined): void {
    if (this.version === before) return
    const isNew = before === undefined || before === UNNUMBERED
    if (isNew) this._since = this._clock.now()
    if (before === undefined) this._knownSince.clear()
  }

  /** Records since when a version is known. What is known without a number counts for the first lacked version whose number is known, or becomes known. */
  private _recordKnown (version: number, since: number): void {
    const unnumberedSince = this._knownSince.get(UNNUMBERED) ?? Infinity
    this._knownSince.delete(UNNUMBERED)
    const key = version === UNNUMBERED ? this._firstKnown : version
    if (this._knownSince.size >= MAXIMUM_KNOWN_VERSIONS && !this._knownSince.has(key)) return
    this._knownSince.set(key, Math.min(this._knownSince.get(key) ?? Infinity, unnumberedSince, since))
  }

  private get _firstKnown (): number {
    return this._knownSince.size === 0 ? UNNUMBERED : Math.min(...this._knownSince.keys())
  }
}
