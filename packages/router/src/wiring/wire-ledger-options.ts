import type { HeartbeatMembership } from '@mimosarock/coordination/membership/heartbeat-membership.js'
import type { PeerMessenger } from '@mimosarock/coordination/peer-messenger.js'
import type { RouterProcessOptions } from './router-process-options.js'
import type { RouterStreams } from './router-streams.js'

/** What the parts that keep calls from running twice are wired from. */
export interface WireLedgerOptions {
  readonly process: RouterProcessOptions
  readonly streams: RouterStreams
  readonly membership: HeartbeatMembership
  readonly messenger: PeerMessenger
}
