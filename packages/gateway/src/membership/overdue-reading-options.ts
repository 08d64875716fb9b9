/** Options of `OverdueReading`. */
export interface OverdueReadingOptions {
  /** Whether this router reads the store for the others, and goes on when a read has failed. */
  readonly isReader: () => boolean
  /** Whether several other routers fail to read the store. */
  readonly isOutageSuspected: () => boolean
}
