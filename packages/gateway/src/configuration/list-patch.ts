/** What changed in a list of named things. */
export interface ListPatch<Named> {
  /** Those that are new or different. */
  readonly changed: readonly Named[]
  /** Names of those that are gone. */
  readonly removed: readonly string[]
}
