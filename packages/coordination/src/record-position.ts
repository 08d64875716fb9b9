/** Where a record stands and who wrote it. */
export interface RecordPosition {
  /** Offset in the stream. */
  readonly offset: number
  /** Identity of the writing process; new for each start. */
  readonly writerId: string
  /** Place in the writer's own order. */
  readonly sequence: number
  /** The writer's wall clock, for people only. */
  readonly writtenAtMs: number
}
