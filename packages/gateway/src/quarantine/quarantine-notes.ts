import type { ClearanceNote } from './clearance-note.js'
import type { CrashNote } from './crash-note.js'

/** News about suspects that routers pass on. */
export interface QuarantineNotes {
  /** Crashes of endpoints. */
  readonly crashes: readonly CrashNote[]
  /** Suspects that have been answered since. */
  readonly clearances: readonly ClearanceNote[]
}
