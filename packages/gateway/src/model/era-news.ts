/** What one router tells another about the era of the store. */
export interface EraNews {
  /** Era of the store; undefined if the router knows none. */
  readonly era: number | undefined
  /** Milliseconds since the router noticed the change to this era; undefined if it has not seen any change. */
  readonly changedAgoMs: number | undefined
}
