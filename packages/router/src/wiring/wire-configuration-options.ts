import type { Clock } from '@mimosarock/coordination/clock.js'
import type { EventLog } from '@mimosarock/coordination/event-log.js'
import type { HeartbeatMembership } from '@mimosarock/coordination/membership/heartbeat-membership.js'
import type { PeerMessenger } from '@mimosarock/coordination/peer-messenger.js'
import type { EndpointStatus } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import type { OperationAdministration } from '../operators/operation-administration.js'
import type { RouterStreams } from './router-streams.js'
import type { RouterSettings } from '../settings/router-settings.js'

/** Options of `wireConfiguration`. */
export interface WireConfigurationOptions {
  readonly settings: RouterSettings
  readonly streams: RouterStreams
  readonly membership: HeartbeatMembership
  readonly messenger: PeerMessenger
  readonly operations: OperationAdministration
  /** Returns the status of the endpoints as known to this router. */
  readonly endpoints: () => readonly EndpointStatus[]
  readonly clock: Clock
  readonly eventLog: EventLog
}
