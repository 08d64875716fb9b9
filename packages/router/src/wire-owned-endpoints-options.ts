import type { Clock } from '@mimosarock/coordination/clock.js'
import type { ConfigurationSource } from '@mimosarock/coordination/configuration-source.js'
import type { EventLog } from '@mimosarock/coordination/event-log.js'
import type { HeartbeatMembership } from '@mimosarock/coordination/membership/heartbeat-membership.js'
import type { PeerMessenger } from '@mimosarock/coordination/peer-messenger.js'
import type { PoolOrder } from './entry/pool-order.js'
import type { EndpointDispatch } from './forward/endpoint-dispatch.js'
import type { EndpointOwnership } from './owner/endpoint-ownership.js'
import type { WatchedEndpoints } from './owner/watched-endpoints.js'
import type { PlacementParts } from './placement-parts.js'

/** What the parts that retire and hand over owned endpoints are wired to. */
export interface WireOwnedEndpointsOptions {
  readonly configuration: ConfigurationSource
  readonly membership: HeartbeatMembership
  readonly messenger: PeerMessenger
  readonly owners: EndpointOwnership
  readonly watch: WatchedEndpoints
  readonly placement: PlacementParts
  readonly order: PoolOrder
  /** Runs calls at this router's endpoints. */
  readonly dispatch: EndpointDispatch
  readonly clock: Clock
  readonly eventLog: EventLog
}
