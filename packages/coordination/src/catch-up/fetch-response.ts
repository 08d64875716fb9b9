/** Result of the method `log.fetch`. */
export interface FetchResponse {
  /** Offset of each record, offset of its predecessor, and its data in base64. */
  readonly records?: ReadonlyArray<readonly [offset: number, previousOffset: number, data: string]>
  /** The records are no longer in memory; the caller has to fetch the state. */
  readonly expired?: boolean
  /** The byte budget is exhausted, or this router has no state yet; the caller may retry later. */
  readonly busy?: boolean
}
