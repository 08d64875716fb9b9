import type { LogEntry } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import type { RecordPosition } from './record-position.js'

/**
 * State made by applying a stream's entries in offset order. The rules must be deterministic: no clock, no
 * randomness, nothing but the entries, so that every router has the same state at the same offset.
 */
export interface LogFold {
  /**
   * Applies one entry. Entries of other folds are ignored. Must not throw: an entry that can't be applied
   * is folded as refused.
   * @param entry the entry
   * @param position where its record stands
   */
  apply (entry: LogEntry, position: RecordPosition): void
  /**
   * Encodes the state for a checkpoint, without the writers' positions.
   */
  encodeState (): Uint8Array
  /**
   * Replaces the state by a checkpoint's.
   * @param state what encodeState gave
   */
  decodeState (state: Uint8Array): void
}
