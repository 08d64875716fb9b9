import type { Clock } from '@mimosarock/coordination/clock.js'
import type { ConfigurationSource } from '@mimosarock/coordination/configuration-source.js'
import type { Membership } from '@mimosarock/coordination/membership.js'
import type { PeerMessenger } from '@mimosarock/coordination/peer-messenger.js'

/** What a router needs to keep the workspaces' limits. */
export interface WorkspaceLimitsOptions {
  readonly configuration: ConfigurationSource
  readonly membership: Membership
  readonly messenger: PeerMessenger
  readonly clock: Clock
}
