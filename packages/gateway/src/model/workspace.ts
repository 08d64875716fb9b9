/** A workspace and the keys that act for it. */
export interface Workspace {
  /** Name that endpoints are told. */
  readonly name: string
  /** Accepted keys. */
  readonly apiKeys: readonly string[]
  /** Rank that goes before the route's; undefined where the route's holds. */
  readonly priority: number | undefined
}
