import type { Clock } from '@mimosarock/coordination/clock.js'

/** What a plain service stand-in is made of; everything may be left out. */
export interface PlainServiceOptions {
  readonly clock?: Clock
  /** Calls that it runs at once according to its load report. */
  readonly capacity?: number
  /** Name that its answers carry. */
  readonly name?: string
}
