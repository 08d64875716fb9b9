import type { WorkspaceDemand } from './workspace-demand.js'

/** Requests for one service that has refused some for want of capacity, as one or several routers see them. */
export interface DemandReport {
  /** Name of the service. */
  readonly service: string
  /** Requests that arrive, of all workspaces, a second. */
  readonly arrivalsPerSecond: number
  /** Requests that are admitted, of all workspaces, a second. */
  readonly admittedPerSecond: number
  /** The workspaces with the most requests, at most `MAXIMUM_REPORTED_WORKSPACES` of them. */
  readonly workspaces: readonly WorkspaceDemand[]
}
