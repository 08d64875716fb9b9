import type { FleetStore } from '../model/fleet-store.js'
import type { RequestQuarantine } from '../quarantine/request-quarantine.js'

/** Dependencies of a `StoredQuarantine`. */
export interface StoredQuarantineOptions {
  /** Store that contains the crashes. */
  readonly store: FleetStore
  /** Quarantine whose crashes are read and saved. */
  readonly quarantine: RequestQuarantine
  /** Returns whether this router reads the store for itself. */
  readonly isReader: () => boolean
}
