import type { EventLog } from '@mimosarock/coordination/event-log.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import type { GatewayConfiguration } from '../model/gateway-configuration.js'
import type { Route } from '../model/route.js'
import type { Workspace } from '../model/workspace.js'
import type { HomeRegions } from './home-regions.js'

/** Warns of home regions in the configuration that are unknown or malformed, once for each until it is corrected. */
export class HomeRegionWarnings {
  private readonly _homeRegions: HomeRegions
  private readonly _log: EventLog
  private _unknown: ReadonlySet<string> = new Set()
  private _invalid: ReadonlySet<string> = new Set()

  /**
   * @param homeRegions regions that the settings name
   * @param log receives the warnings
   */
  constructor (homeRegions: HomeRegions, log: EventLog) {
    this._homeRegions = homeRegions
    this._log = log
  }

  /** Number of regions that the configuration names and the settings don't. */
  get unknownRegionCount (): number {
    return this._unknown.size
  }

  /**
   * Checks a configuration.
   * @param configuration configuration that was just put in force
   */
  check ({ routes, workspaces }: GatewayConfiguration): void {
    this._checkRegions([...routes, ...workspaces ?? []])
    const invalid = new Set<string>()
    this._checkLists('route', routes, invalid)
    this._checkLists('workspace', workspaces ?? [], invalid)
    this._invalid = invalid
  }

  private _checkRegions (items: readonly (Route | Workspace)[]): void {
    const unknown = new Set<string>()
    for (const { name, homeRegions } of items) {
      for (const region of homeRegions ?? []) {
        if (this._homeRegions.knows(region) || unknown.has(region)) continue
        unknown.add(region)
        if (!this._unknown.has(region)) this._log.warn('home-region-unknown', { code: ResultCode.REGION_UNKNOWN, region, named_by: name })
      }
    }
    this._unknown = unknown
  }

  private _checkLists (kind: 'route' | 'workspace', items: readonly (Route | Workspace)[], invalid: Set<string>): void {
    for (const { name, homeRegions, hasInvalidHomeRegions } of items) {
      if (hasInvalidHomeRegions !== true) continue
      const id = `${kind} ${name}`
      invalid.add(id)
      if (this._invalid.has(id)) continue
      this._log.warn('home-regions-invalid', { code: ResultCode.HOME_REGIONS_INVALID, [kind]: name, in_force: homeRegions?.join(',') || 'none' })
    }
  }
}
