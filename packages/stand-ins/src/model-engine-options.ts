import type { Clock } from '@mimosarock/coordination/clock.js'
import type { BatchOptions } from './engine/batch-options.js'
import type { WeightStoreStandIn } from './weight-store-stand-in.js'

/** Options of a model engine stand-in; all have defaults. */
export interface ModelEngineOptions extends Partial<BatchOptions> {
  /** Models that are loaded at the start. */
  readonly models?: readonly string[]
  /** Maximum number of tokens in the prefix cache. */
  readonly cacheLimitTokens?: number
  /** Size of one cached token in an export, in bytes. */
  readonly cacheBytesPerToken?: number
  /** Time for which a stream keeps running and can be resumed after its connection broke, in milliseconds. */
  readonly resumeWindowMs?: number
  /** Whether orders with a fencing number below the highest seen are rejected. */
  readonly checksFencing?: boolean
  /** Source of models; without one, loading takes no time. */
  readonly weightStore?: WeightStoreStandIn
  readonly clock?: Clock
  /** Seed for faults that occur with a probability. */
  readonly seed?: number
}
