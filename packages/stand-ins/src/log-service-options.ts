import type { Clock } from '@mimosarock/coordination/clock.js'

/** What a log service stand-in is made of. */
export interface LogServiceOptions {
  /** Source of delays; the machine's clock if left out. */
  readonly clock?: Clock
  /** Most records kept in a stream; all if left out. */
  readonly retainedRecords?: number
  /** Seed for faults that hit a share of the calls. */
  readonly seed?: number
}
