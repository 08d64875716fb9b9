import type { StoredRecord } from './stored-record.js'

/** Answer of a read from the log service. */
export interface ReadResult {
  /** Records in the order of their offsets; empty at the end of the stream. */
  readonly records: readonly StoredRecord[]
  /** Offset of the oldest record still kept; the next offset if none is. */
  readonly oldestOffset: number
  /** Offset that the next appended record will get at the earliest. */
  readonly nextOffset: number
}
