import type { HolderTable } from '../choice/holder-table.js'
import type { FleetStore } from '../model/fleet-store.js'
import type { RequestQuarantine } from '../quarantine/request-quarantine.js'

/** Dependencies of a `StatePersistence`. */
export interface StatePersistenceOptions {
  /** Store that contains the saved state. */
  readonly store: FleetStore
  /** Cached contexts, which are loaded and saved. */
  readonly holders: HolderTable
  /** Quarantined prompt parts, which are loaded and saved. */
  readonly quarantine: RequestQuarantine
  /** Returns whether this router currently saves on behalf of the fleet. */
  readonly isSaving: () => boolean
}
