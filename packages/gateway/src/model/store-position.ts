/**
 * Position in a topic of the store. After the store has come back from an older copy it assigns offsets again, so an
 * offset denotes a record only together with the era.
 */
export interface StorePosition {
  /** Era of the store in which the offset was assigned; undefined if the store has not stated any. */
  readonly era: number | undefined
  /** Offset of the next record. */
  readonly offset: number
}
