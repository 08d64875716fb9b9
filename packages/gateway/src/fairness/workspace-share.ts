/** Share of a workspace that asks for more than its max-min fair part of a service. */
export interface WorkspaceShare {
  /** Name of the service. */
  readonly service: string
  /** Name of the workspace. */
  readonly workspace: string
  /** Fraction of its requests that are queued where they are not admitted at once; the others are refused. */
  readonly queuedFraction: number
}
