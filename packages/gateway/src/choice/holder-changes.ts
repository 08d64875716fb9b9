import type { HolderNote } from './holder-note.js'

/** Changes of a `HolderTable` since a given position. */
export interface HolderChanges {
  /** All changes, for the routers that synchronize from this one. */
  readonly notes: readonly HolderNote[]
  /** Changes that did not come from the upstream router, that is, the one from which this router synchronizes. */
  readonly notesForUpstream: readonly HolderNote[]
  /** Position after the last of these changes. */
  readonly cursor: number
}
