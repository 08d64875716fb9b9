import type { HeartbeatMembership } from '@mimosarock/coordination/membership/heartbeat-membership.js'
import type { PeerMessenger } from '@mimosarock/coordination/peer-messenger.js'
import type { RouterProcessOptions } from './router-process-options.js'
import type { RouterStreams } from './router-streams.js'

/** Options of `wireLedger`, which creates the components that prevent keyed calls from running twice. */
export interface WireLedgerOptions {
  readonly processOptions: RouterProcessOptions
  readonly streams: RouterStreams
  readonly membership: HeartbeatMembership
  readonly messenger: PeerMessenger
}
