/** One record as stored by the log service. */
export interface StoredRecord {
  /** Offset in the stream; increases from record to record, not necessarily by one. */
  readonly offset: number
  /** Encoded LogRecord. */
  readonly data: Uint8Array
}
