import type { Clock } from '@mimosarock/coordination/clock.js'
import type { ConfigurationSource } from '@mimosarock/coordination/configuration-source.js'

/** Options of `LimitAllocator`. */
export interface LimitAllocatorOptions {
  readonly configuration: ConfigurationSource
  readonly clock: Clock
}
