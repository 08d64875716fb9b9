/** Difference between two versions of a list of named items. */
export interface ListPatch<Named> {
  /** Items that were added or modified. */
  readonly changed: readonly Named[]
  /** Names of removed items. */
  readonly removed: readonly string[]
}
