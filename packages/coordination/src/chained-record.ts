import type { StoredRecord } from './stored-record.js'

/** A record that carries the offset of its predecessor in the stream, which lets a reader detect missing records. */
export interface ChainedRecord extends StoredRecord {
  /** Offset of the preceding record; 0 for the first record of the stream. */
  readonly previousOffset: number
}
