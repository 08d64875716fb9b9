import type { FleetStore } from '../model/fleet-store.js'
import type { HolderTable } from './holder-table.js'

/** What the keeper works with. */
export interface HolderKeeperOptions {
  /** Where it is kept. */
  readonly store: FleetStore
  /** What is kept. */
  readonly holders: HolderTable
  /** Whether this router is the one that saves. */
  readonly isSaving: () => boolean
}
