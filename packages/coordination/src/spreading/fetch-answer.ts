/** Answer to `log.fetch`. */
export interface FetchAnswer {
  /** Offset, offset of the record before, and data in base64 of each record. */
  readonly records?: ReadonlyArray<readonly [offset: number, previousOffset: number, data: string]>
  /** The records are no longer in memory; the state is needed. */
  readonly expired?: boolean
  /** The budget is spent for now. */
  readonly busy?: boolean
}
