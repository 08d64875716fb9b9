import type { EventLog } from '@mimosarock/coordination/event-log.js'
import type { ElapsedClock } from '../model/elapsed-clock.js'
import type { GatewayConfiguration } from '../model/gateway-configuration.js'
import { applyPatch } from './apply-patch.js'
import { AwaitedConfiguration } from './awaited-configuration.js'
import { completeWarmUps } from './complete-warm-ups.js'
import { ConfigurationInForce } from './configuration-in-force.js'
import type { ConfigurationPatch } from './configuration-patch.js'
import { diffConfigurations } from './diff-configurations.js'
import { keepHomeRegions } from './keep-home-regions.js'

/** Number of patches retained for routers with an older version, which request updates several times a second. */
const MAXIMUM_PATCHES = 16

/**
 * The configuration known to this process and its age. Adopts only newer versions: the version in force never
 * decreases.
 */
export class ConfigurationState {
  /** The newest version known to exist, while its content is not known. */
  readonly awaited: AwaitedConfiguration
  private readonly _clock: ElapsedClock
  private readonly _log: EventLog
  private _inForce: ConfigurationInForce | undefined
  private _verifiedAt = -Infinity
  private _readAt = -Infinity
  private _heardAt = -Infinity
  private readonly _patches: ConfigurationPatch[] = []
  private readonly _listeners: ((configuration: GatewayConfiguration) => void)[] = []

  /**
   * @param clock clock that includes suspensions, since the configuration ages during them
   * @param log logs each adopted version
   */
  constructor (clock: ElapsedClock, log: EventLog) {
    this._clock = clock
    this._log = log
    this.awaited = new AwaitedConfiguration(clock)
  }

  /** The configuration in force; undefined until the first version is adopted. */
  get inForce (): ConfigurationInForce | undefined {
    return this._inForce
  }

  /** Version in force; 0 if none has been adopted. */
  get version (): number {
    return this._inForce?.configuration.version ?? 0
  }

  /** Latest clock time at which the store held no newer version than the one in force; -Infinity if never verified. */
  get verifiedAt (): number {
    return this._verifiedAt
  }

  /**
   * Latest clock time at which the store was read, by this router or another one, whether or not what it held verified
   * the version in force; -Infinity if never.
   */
  get readAt (): number {
    return this._readAt
  }

  /**
   * Latest clock time as of which this router knows which version the store holds, whether or not it has that version; -Infinity if
   * never. A large change is transferred after it has been heard of.
   */
  get heardAt (): number {
    return this._heardAt
  }

  /** Milliseconds since the store was last read as a whole, by this router or another one, and what it held was applied here. */
  get readAgeMs (): number {
    return this._clock.now() - this._readAt
  }

  /** What other routers may be told of `heardAt`: this router can tell them of no version that it lacks, so that it tells the last reading then. */
  get knownAt (): number {
    return this.awaited.version === undefined ? this._heardAt : this._readAt
  }

  /** Milliseconds since the version in force was last verified to be the newest in the store. */
  get ageMs (): number {
    return this._clock.now() - this._verifiedAt
  }

  /**
   * Adds a listener.
   * @param listener called with each configuration that is put in force
   */
  onInForce (listener: (configuration: GatewayConfiguration) => void): void {
    this._listeners.push(listener)
  }

  /**
   * Adopts a version unless it is older than or the same as the version in force.
   * @param stated version to adopt
   * @param source where it was received from, for the log
   */
  adopt (stated: GatewayConfiguration, source: string): void {
    if (stated.version <= this.version) return
    const startedAt = performance.now()
    const replaced = this._inForce?.configuration
    const configuration = keepHomeRegions(completeWarmUps(stated, replaced), replaced)
    this._retain(this._patchesTo(configuration))
    this._putInForce(configuration, source, startedAt)
  }

  /**
   * Adopts the version that results from patches. Skips patches already applied, and does nothing if the rest is not
   * based on the version in force.
   * @param patches patches in ascending order of version
   * @param source where they were received from, for the log
   */
  adoptPatches (patches: readonly ConfigurationPatch[], source: string): void {
    const startedAt = performance.now()
    const newerPatches = patches.filter(({ to }) => to > this.version)
    let configuration = this._inForce?.configuration
    for (const patch of newerPatches) {
      // A patch of another router can span a version that this router has adopted in between. Its base then differs
      // from the version in force, and this router requests the full configuration.
      if (configuration === undefined || patch.from !== configuration.version) return
      configuration = applyPatch(configuration, patch)
    }
    if (configuration === undefined || newerPatches.length === 0) return
    this._retain(newerPatches)
    this._putInForce(keepHomeRegions(configuration, this._inForce?.configuration), source, startedAt)
  }

  /**
   * Returns the patches from a version to the one in force; undefined if no retained patch is based on that version.
   * @param version base version of the first patch
   */
  patchesSince (version: number): readonly ConfigurationPatch[] | undefined {
    const firstIndex = this._patches.findIndex(({ from }) => from === version)
    return firstIndex < 0 ? undefined : this._patches.slice(firstIndex)
  }

  /**
   * Records that the store held no newer version at a given time.
   * @param verifiedAt time of the check, by the clock
   */
  markVerified (verifiedAt: number): void {
    this.markRead(verifiedAt)
    this.awaited.verify(verifiedAt)
    if (verifiedAt > this._verifiedAt) this._verifiedAt = verifiedAt
  }

  /**
   * Records that the store was read at a given time.
   * @param readAt time of the reading, by the clock
   */
  markRead (readAt: number): void {
    if (readAt > this._readAt) this._readAt = readAt
    this.markHeard(readAt)
  }

  /**
   * Records that it was known at a given time whether the store held a newer version than the one in force.
   * @param heardAt the time, by the clock
   */
  markHeard (heardAt: number): void {
    if (heardAt > this._heardAt) this._heardAt = heardAt
  }

  /**
   * Records a version that a router has stated, and that this one may lack.
   * @param version number of the version; 0 for a newer one than that in force whose number is not known yet
   * @param statedAt time at which a router that had it, or was reading it, stated it, by the clock
   * @param source name of the router that told it, for the log
   * @param knownSince time from which some router knew of it, by the clock; by default now
   */
  hearOf (version: number, statedAt: number, source: string, knownSince?: number): void {
    const before = this.awaited.version
    this.awaited.hear(version, statedAt, knownSince)
    const after = this.awaited.version
    if (after !== undefined && after !== before) this._log.info('configuration-awaited', { version: after, in_force: this.version, source })
  }

  /**
   * Drops the verification if it was made at or after a given time, because what was read then was an older copy.
   * @param time the time, by the clock
   */
  dropVerificationSince (time: number): void {
    if (this._verifiedAt >= time) this._verifiedAt = -Infinity
  }

  private _putInForce (configuration: GatewayConfiguration, source: string, startedAt: number): void {
    const replaced = this.version
    const awaitedMs = this.awaited.elapsedMs
    this._inForce = new ConfigurationInForce(configuration)
    this.awaited.putInForce(configuration.version)
    this._log.info('configuration-in-force', {
      version: configuration.version,
      replaced,
      source,
      routes: configuration.routes.length,
      awaited_ms: Math.round(awaitedMs),
      indexing_ms: Math.round(performance.now() - startedAt)
    })
    for (const listener of this._listeners) listener(configuration)
  }

  /** Returns the patch from the version in force to another one; none if it can't be expressed as a patch. */
  private _patchesTo (next: GatewayConfiguration): readonly ConfigurationPatch[] {
    const previous = this._inForce?.configuration
    if (previous === undefined) return []
    // Patches identify items by name. With duplicate names the full configuration is sent to other routers instead.
    return hasUniqueNames(previous) && hasUniqueNames(next) ? [diffConfigurations(previous, next)] : []
  }

  private _retain (patches: readonly ConfigurationPatch[]): void {
    if (patches.length === 0) this._patches.length = 0
    this._patches.push(...patches)
    this._patches.splice(0, Math.max(0, this._patches.length - MAXIMUM_PATCHES))
  }
}

function hasUniqueNames ({ routes, services, workspaces }: GatewayConfiguration): boolean {
  return [routes, services, workspaces ?? []].every((items) => new Set(items.map(({ name }) => name)).size === items.length)
}
