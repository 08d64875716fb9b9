/** Requests of one workspace for a service. */
export interface WorkspaceDemand {
  /** Name of the workspace. */
  readonly workspace: string
  /** Requests that arrive, a second. */
  readonly arrivalsPerSecond: number
  /** Requests that are admitted, a second. */
  readonly admittedPerSecond: number
}
