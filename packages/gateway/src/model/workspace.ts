/** A workspace (tenant) and its API keys. */
export interface Workspace {
  /** Name; is sent to endpoints. */
  readonly name: string
  /** Accepted API keys. */
  readonly apiKeys: readonly string[]
  /** Priority that overrides the route's; undefined to use the route's. */
  readonly priority: number | undefined
  /** Regions in which alone requests may run; undefined if they may run everywhere, empty if nowhere. */
  readonly homeRegions?: readonly string[] | undefined
  /** Whether the list of regions is malformed; `homeRegions` is then the last valid one, or empty if none is known. */
  readonly hasInvalidHomeRegions?: boolean | undefined
}
