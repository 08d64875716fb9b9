import type { Clock } from '@mimosarock/coordination/clock.js'
import type { BatchOptions } from './engine/batch-options.js'
import type { WeightStoreStandIn } from './weight-store-stand-in.js'

/** What a model engine stand-in is made of; everything may be left out. */
export interface ModelEngineOptions extends Partial<BatchOptions> {
  /** Models held at the start. */
  readonly models?: readonly string[]
  /** Most tokens in the prefix cache. */
  readonly cacheLimitTokens?: number
  /** Bytes of the cache of one token, for export. */
  readonly cacheBytesPerToken?: number
  /** How long a stream runs on after its connection broke, in milliseconds. */
  readonly resumeWindowMs?: number
  /** Whether an order with an old fencing number is refused. */
  readonly checksFencing?: boolean
  /** Where models come from; loading takes no time without one. */
  readonly weightStore?: WeightStoreStandIn
  readonly clock?: Clock
  /** Seed for faults that hit a share of the events. */
  readonly seed?: number
}
