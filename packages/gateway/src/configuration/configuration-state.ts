import type { EventLog } from '@mimosarock/coordination/event-log.js'
import type { ElapsedClock } from '../model/elapsed-clock.js'
import type { GatewayConfiguration } from '../model/gateway-configuration.js'
import { applyPatch } from './apply-patch.js'
import { ConfigurationInForce } from './configuration-in-force.js'
import type { ConfigurationPatch } from './configuration-patch.js'
import { diffConfigurations } from './diff-configurations.js'

/** Changes that are kept for routers that have an older version; they ask several times a second. */
const PATCHES_KEPT = 16

/**
 * The configuration that this process knows, and how old that knowledge is. Only newer versions are taken, so that
 * no process goes back.
 */
export class ConfigurationState {
  private readonly _clock: ElapsedClock
  private readonly _log: EventLog
  private _inForce: ConfigurationInForce | undefined
  private _verifiedAt = -Infinity
  private readonly _patches: ConfigurationPatch[] = []

  /**
   * @param clock counts suspensions, since knowledge ages during them
   * @param log takes a line for each version
   */
  constructor (clock: ElapsedClock, log: EventLog) {
    this._clock = clock
    this._log = log
  }

  /** The configuration in force; undefined until the first one is known. */
  get inForce (): ConfigurationInForce | undefined {
    return this._inForce
  }

  /** Version in force; 0 for none. */
  get version (): number {
    return this._inForce?.configuration.version ?? 0
  }

  /** Moment, by the clock, at which the store held no newer version than this one. */
  get verifiedAt (): number {
    return this._verifiedAt
  }

  /** Milliseconds since the store is known to have held no newer version. */
  get ageMs (): number {
    return this._clock.now() - this._verifiedAt
  }

  /**
   * Takes a version unless it is older than the one in force.
   * @param configuration the version
   * @param source who told it, for the log
   */
  adopt (configuration: GatewayConfiguration, source: string): void {
    if (configuration.version <= this.version) return
    const replaced = this.version
    this._keepPatch(configuration)
    this._inForce = new ConfigurationInForce(configuration)
    this._log.info('configuration-in-force', {
      version: configuration.version, replaced, source, routes: configuration.routes.length
    })
  }

  /**
   * Takes changes that lead from the version in force, or an older one, to newer ones.
   * @param patches in order
   * @param source who told them, for the log
   */
  adoptPatches (patches: readonly ConfigurationPatch[], source: string): void {
    const news = patches.filter(({ to }) => to > this.version)
    let configuration = this._inForce?.configuration
    for (const patch of news) {
      // Another router's step may skip versions that this one has; the whole configuration is asked for then.
      if (configuration === undefined || patch.from !== configuration.version) return
      configuration = applyPatch(configuration, patch)
    }
    if (configuration !== undefined) this.adopt(configuration, source)
  }

  /**
   * The changes from a version to the one in force; undefined if they are not known.
   * @param version where they start
   */
  patchesSince (version: number): readonly ConfigurationPatch[] | undefined {
    const first = this._patches.findIndex(({ from }) => from === version)
    return first < 0 ? undefined : this._patches.slice(first)
  }

  /**
   * Notes that the store held nothing newer at a moment.
   * @param moment by the clock
   */
  verified (moment: number): void {
    if (moment > this._verifiedAt) this._verifiedAt = moment
  }

  private _keepPatch (next: GatewayConfiguration): void {
    const previous = this._inForce?.configuration
    if (previous === undefined) return
    if (hasUniqueNames(previous) && hasUniqueNames(next)) this._patches.push(diffConfigurations(previous, next))
    // Things of the same name can't be told apart in a change, so others are given the whole.
    else this._patches.length = 0
    if (this._patches.length > PATCHES_KEPT) this._patches.shift()
  }
}

function hasUniqueNames ({ routes, services, workspaces }: GatewayConfiguration): boolean {
  return [routes, services, workspaces ?? []].every((items) => new Set(items.map(({ name }) => name)).size === items.length)
}
