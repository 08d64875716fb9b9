import type { HolderNote } from '../choice/holder-note.js'
import type { CrashNote } from '../quarantine/crash-note.js'
import type { EndpointEntry } from './endpoint-entry.js'
import type { OperatorRecord } from './operator-record.js'
import type { RouterEntry } from './router-entry.js'
import type { StoreCallNote } from './store-call-note.js'
import type { StoreEra } from './store-era.js'
import type { TopicReader } from './topic-reader.js'

/** Client of the platform's store, which holds records of the operator, registrations and the cache index. */
export interface FleetStore {
  /** Era of the store, which each of its answers states. */
  readonly era: StoreEra
  /** Records of the operator: accepted configurations and evacuations of availability zones. */
  readonly operatorRecords: TopicReader<OperatorRecord>
  /** Registered endpoints. */
  readonly endpoints: TopicReader<EndpointEntry>
  /** Announced routers. */
  readonly routers: TopicReader<RouterEntry>
  /** Saved crashes of quarantined suspects; one record. */
  readonly crashes: TopicReader<readonly CrashNote[]>
  /**
   * Sets the listener that is called before each call to the store, which the platform charges for; it replaces the previous one.
   * @param onCall listener
   */
  onCall: (onCall: (call: StoreCallNote) => void) => void
  /**
   * Announces routers to the fleet.
   * @param entries routers to announce
   * @param signal aborts the call
   */
  announce (entries: readonly RouterEntry[], signal: AbortSignal): Promise<void>
  /**
   * Saves the cache index for routers that start later; replaces the saved one.
   * @param notes holders of contexts, the whole index to save
   * @param signal aborts the call
   */
  saveHolders (notes: readonly HolderNote[], signal: AbortSignal): Promise<void>
  /**
   * Saves the crashes because of which suspects are quarantined or may be; replaces the saved ones.
   * @param crashes all crashes to save
   * @param signal aborts the call
   */
  saveCrashes (crashes: readonly CrashNote[], signal: AbortSignal): Promise<void>
  /**
   * Loads the cache index that was saved last.
   * @param signal aborts the call
   * @param onProgress called for each received part of the answer
   */
  loadHolders (signal: AbortSignal, onProgress?: () => void): Promise<readonly HolderNote[]>
}
