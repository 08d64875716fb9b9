/** A workspace (tenant) and its API keys. */
export interface Workspace {
  /** Name; is sent to endpoints. */
  readonly name: string
  /** Accepted API keys. */
  readonly apiKeys: readonly string[]
  /** Priority that overrides the route's; undefined to use the route's. */
  readonly priority: number | undefined
  /** Regions in which alone requests may run; undefined if they may run everywhere. */
  readonly homeRegions?: readonly string[] | undefined
}
