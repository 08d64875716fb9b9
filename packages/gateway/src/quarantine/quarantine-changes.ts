import type { QuarantineNotes } from './quarantine-notes.js'

/** Changes of a `RequestQuarantine` since a position. */
export interface QuarantineChanges {
  /** All changes, for routers that read from this one. */
  readonly notes: QuarantineNotes
  /** Those of them that did not come from the upstream router. */
  readonly notesForUpstream: QuarantineNotes
  /** Position of the next reading. */
  readonly cursor: number
}
