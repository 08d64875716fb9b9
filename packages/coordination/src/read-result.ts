import type { StoredRecord } from './stored-record.js'

/** Result of a read from the log service. */
export interface ReadResult {
  /** Records in offset order; empty at the end of the stream. */
  readonly records: readonly StoredRecord[]
  /** Offset of the oldest record in the log; the next offset if the log holds none. */
  readonly oldestOffset: number
  /** Lowest offset that the next appended record can get. */
  readonly nextOffset: number
}
