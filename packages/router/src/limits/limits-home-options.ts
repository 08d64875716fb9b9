import type { Clock } from '@mimosarock/coordination/clock.js'
import type { ConfigurationSource } from '@mimosarock/coordination/configuration-source.js'

/** What the home side of the limits works with. */
export interface LimitsHomeOptions {
  readonly configuration: ConfigurationSource
  readonly clock: Clock
}
