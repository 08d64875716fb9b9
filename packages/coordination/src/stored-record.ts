/** One record as the log service keeps it. */
export interface StoredRecord {
  /** Place in the stream; grows by one or more from record to record. */
  readonly offset: number
  /** The encoded LogRecord. */
  readonly data: Uint8Array
}
