import type { HolderNote } from './holder-note.js'

/** Changes of who holds what since some position. */
export interface HolderNews {
  /** All changes, for routers that follow this one. */
  readonly notes: readonly HolderNote[]
  /** Those that did not come from the router that this one follows. */
  readonly ownNotes: readonly HolderNote[]
  /** Position behind these changes. */
  readonly cursor: number
}
