import type { DemandReport } from './demand-report.js'
import { MAXIMUM_REPORTED_WORKSPACES } from './maximum-reported-workspaces.js'
import type { WorkspaceDemand } from './workspace-demand.js'

/**
 * Adds up reports of several routers. A workspace that is among the largest at some routers only is underestimated, never overestimated.
 * @param reports reports of different routers
 * @returns one report for each service
 */
export function mergeDemandReports (reports: readonly DemandReport[]): readonly DemandReport[] {
  const byService = new Map<string, DemandReport[]>()
  for (const report of reports) byService.set(report.service, [...byService.get(report.service) ?? [], report])
  return [...byService].map(([service, ofService]) => ({
    service,
    arrivalsPerSecond: sumOf(ofService.map(({ arrivalsPerSecond }) => arrivalsPerSecond)),
    admittedPerSecond: sumOf(ofService.map(({ admittedPerSecond }) => admittedPerSecond)),
    workspaces: mergeWorkspaces(ofService.flatMap(({ workspaces }) => workspaces))
  }))
}

function mergeWorkspaces (demands: readonly WorkspaceDemand[]): readonly WorkspaceDemand[] {
  const merged = new Map<string, WorkspaceDemand>()
  for (const demand of demands) {
    const known = merged.get(demand.workspace)
    merged.set(demand.workspace, {
      workspace: demand.workspace,
      arrivalsPerSecond: (known?.arrivalsPerSecond ?? 0) + demand.arrivalsPerSecond,
      admittedPerSecond: (known?.admittedPerSecond ?? 0) + demand.admittedPerSecond
    })
  }
  const descending = [...merged.values()].sort((one, other) => other.arrivalsPerSecond - one.arrivalsPerSecond)
  return descending.slice(0, MAXIMUM_REPORTED_WORKSPACES)
}

function sumOf (numbers: readonly number[]): number {
  return numbers.reduce((sum, number) => sum + number, 0)
}
