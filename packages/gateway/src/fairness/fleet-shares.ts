import type { DemandReport } from './demand-report.js'
import { fairLevel } from './fair-level.js'
import type { WorkspaceShare } from './workspace-share.js'

/** Fraction of the requests for a service that have to be refused before shares are computed; below it single routers are short of capacity by chance. */
const MINIMUM_REFUSED_FRACTION = 0.05
/** Lowest queued fraction, so that a workspace that has become quiet is noticed. */
const MINIMUM_QUEUED_FRACTION = 0.05
/** Queued fraction from which on a share is dropped. */
const FULL_FRACTION = 0.95
/** Maximum number of unlisted workspaces that are counted; bounds the time of a computation. */
const MAXIMUM_UNLISTED = 20_000
/** Factor by which a queued fraction rises at most in one step, and falls at most to its inverse; the admitted rate follows with a delay. */
const MAXIMUM_STEP = 1.5

/**
 * Max-min fair shares of services that refuse requests, from the demand of the whole fleet. A workspace that gets more than the fair level
 * has a part of its requests refused where they would have to queue; the part is adjusted until the workspace gets the level.
 */
export class FleetShares {
  private _shares: readonly WorkspaceShare[] = []

  /** The shares that were computed last. */
  get shares (): readonly WorkspaceShare[] {
    return this._shares
  }

  /**
   * Computes the shares anew.
   * @param reports demand of the fleet, one report for each service
   */
  update (reports: readonly DemandReport[]): void {
    this._shares = reports.flatMap((report) => this._sharesOf(report))
  }

  private _sharesOf (report: DemandReport): readonly WorkspaceShare[] {
    const { service, arrivalsPerSecond, admittedPerSecond, workspaces } = report
    if (admittedPerSecond >= arrivalsPerSecond * (1 - MINIMUM_REFUSED_FRACTION)) return []
    const level = levelOf(report)
    return workspaces.flatMap(({ workspace, arrivalsPerSecond: demand, admittedPerSecond: admitted }) => {
      const before = this._queuedFraction(service, workspace)
      if (before === 1 && demand <= level) return []
      const step = Math.min(MAXIMUM_STEP, Math.max(1 / MAXIMUM_STEP, level / Math.max(admitted, Number.MIN_VALUE)))
      const queuedFraction = Math.max(MINIMUM_QUEUED_FRACTION, Math.min(1, before * step))
      return queuedFraction >= FULL_FRACTION ? [] : [{ service, workspace, queuedFraction }]
    })
  }

  private _queuedFraction (service: string, workspace: string): number {
    return this._shares.find((share) => share.service === service && share.workspace === workspace)?.queuedFraction ?? 1
  }
}

// The workspaces that are not listed ask for at most as much as the smallest one that is. They count as several of that size, so
// that a surge of many small workspaces lowers the level for all instead of being met first.
function levelOf ({ arrivalsPerSecond, admittedPerSecond, workspaces }: DemandReport): number {
  const listed = workspaces.map((demand) => demand.arrivalsPerSecond)
  const others = Math.max(0, arrivalsPerSecond - listed.reduce((sum, demand) => sum + demand, 0))
  const smallest = Math.min(...listed)
  if (!(smallest > 0)) return Infinity
  const unlisted = Array.from({ length: Math.min(MAXIMUM_UNLISTED, Math.floor(others / smallest)) }, () => smallest)
  return fairLevel([...listed, ...unlisted, others % smallest], admittedPerSecond)
}
