import type { Clock } from '@mimosarock/coordination/clock.js'

/** Options of a plain service stand-in; all have defaults. */
export interface PlainServiceOptions {
  readonly clock?: Clock
  /** Capacity stated in the load report; it does not limit the number of concurrent runs. */
  readonly capacity?: number
  /** Name of the service, stated in its responses. */
  readonly name?: string
}
