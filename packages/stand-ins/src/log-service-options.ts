import type { Clock } from '@mimosarock/coordination/clock.js'

/** Options of a log service stand-in. */
export interface LogServiceOptions {
  /** Clock for delays and long polls; the system clock by default. */
  readonly clock?: Clock
  /** Maximum number of records retained in each stream; unlimited by default. */
  readonly retainedRecords?: number
  /** Seed for faults that occur with a probability; 1 by default. */
  readonly seed?: number
}
