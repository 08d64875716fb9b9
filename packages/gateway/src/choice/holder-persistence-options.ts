import type { FleetStore } from '../model/fleet-store.js'
import type { HolderTable } from './holder-table.js'

/** Dependencies of a `HolderPersistence`. */
export interface HolderPersistenceOptions {
  /** Store that contains the saved holders. */
  readonly store: FleetStore
  /** Table that is loaded and saved. */
  readonly holders: HolderTable
  /** Returns whether this router currently saves on behalf of the fleet. */
  readonly isSaving: () => boolean
}
