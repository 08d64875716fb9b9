/** Changes that a `ChangeLog` returns. */
export interface LoggedChanges<Change> {
  /** All changes since the position, for routers that read from this one. */
  readonly changes: readonly Change[]
  /** Those of them that did not come from the upstream router. */
  readonly changesForUpstream: readonly Change[]
  /** Position of the next reading. */
  readonly cursor: number
}
