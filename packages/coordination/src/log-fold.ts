import type { LogEntry } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import type { RecordPosition } from './record-position.js'

/**
 * State derived from a stream by applying its entries in offset order. Implementations must be deterministic: the
 * result depends on the entries alone, not on a clock or on random numbers, which gives every router the same state at
 * the same offset.
 */
export interface LogFold {
  /**
   * Applies one entry; ignores entries of kinds that belong to other folds. Must not throw: an entry that can't be
   * applied is rejected, with the same result on every router.
   * @param entry entry to apply
   * @param position position of the record that holds the entry
   */
  apply (entry: LogEntry, position: RecordPosition): void
  /**
   * Encodes the state for a checkpoint. The positions of the writers are stored separately.
   */
  encodeState (): Uint8Array
  /**
   * Replaces the state with that of a checkpoint.
   * @param state output of `encodeState`
   */
  decodeState (state: Uint8Array): void
}
