import type { Clock } from '@mimosarock/coordination/clock.js'
import type { ConfigurationSource } from '@mimosarock/coordination/configuration-source.js'
import type { Membership } from '@mimosarock/coordination/membership.js'
import type { PeerMessenger } from '@mimosarock/coordination/peer-messenger.js'

/** Options of `WorkspaceLimits`. */
export interface WorkspaceLimitsOptions {
  readonly configuration: ConfigurationSource
  readonly membership: Membership
  readonly messenger: PeerMessenger
  readonly clock: Clock
}
