import type { HolderNote } from '../choice/holder-note.js'
import type { CrashNote } from '../quarantine/crash-note.js'

/** What routers know by themselves and save in the store for those that start later. */
export interface SavedState {
  /** Endpoints that hold the cached context of each key. */
  readonly holders: readonly HolderNote[]
  /** Crashes because of which prompt parts are quarantined. */
  readonly crashes: readonly CrashNote[]
}
