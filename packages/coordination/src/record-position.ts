/** Position of a record in its stream, and its origin. */
export interface RecordPosition {
  /** Offset of the record in the stream. */
  readonly offset: number
  /** Id of the process that wrote the record; unique for each process start. */
  readonly writerId: string
  /** Sequence number that the writer gave to the record; increases with each of its records. */
  readonly sequence: number
  /** Wall clock of the writer, in milliseconds since the epoch. For display and the checkpoint schedule only: writers are not synchronized. */
  readonly writtenAtMs: number
}
