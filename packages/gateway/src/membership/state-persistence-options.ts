import type { HolderTable } from '../choice/holder-table.js'
import type { FleetStore } from '../model/fleet-store.js'
import type { SavedPart } from './saved-part.js'

/** Dependencies of a `StatePersistence`. */
export interface StatePersistenceOptions {
  /** Store that contains the saved state. */
  readonly store: FleetStore
  /** Cached contexts, which are loaded and saved. */
  readonly holders: HolderTable
  /** Other parts of the state, which are saved only. */
  readonly otherParts: readonly SavedPart[]
  /** Returns whether this router currently saves on behalf of the fleet. */
  readonly isSaving: () => boolean
}
