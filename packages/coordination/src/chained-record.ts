import type { StoredRecord } from './stored-record.js'

/** A record with the offset of the one before it, so that a reader can tell that none is missing between. */
export interface ChainedRecord extends StoredRecord {
  /** Offset of the record before this one; 0 for the first. */
  readonly previousOffset: number
}
