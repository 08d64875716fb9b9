import type { HeartbeatMembership } from '@mimosarock/coordination/membership/heartbeat-membership.js'
import type { PeerConnections } from '@mimosarock/coordination/membership/peer-connections.js'
import type { PeerServer } from '@mimosarock/coordination/membership/peer-server.js'
import type { ConfigurationComponents } from './configuration-components.js'
import type { CallerServer } from '../caller/caller-server.js'
import type { ForwardServer } from '../forward/forward-server.js'
import type { OwnerDispatch } from '../forward/owner-dispatch.js'
import type { OrderComponents } from './order-components.js'
import type { LeavingComponents } from './leaving-components.js'
import type { LedgerComponents } from './ledger-components.js'
import type { EndpointClients } from '../watch/endpoint-clients.js'
import type { PlacementComponents } from './placement-components.js'
import type { RouterStreams } from './router-streams.js'

/** Components of a started router, which are stopped individually when the router stops. */
export interface RouterComponents {
  readonly streams: RouterStreams
  readonly clients: EndpointClients
  readonly forwardServer: ForwardServer
  readonly peerServer: PeerServer
  readonly messenger: PeerConnections
  readonly membership: HeartbeatMembership
  readonly ownerDispatch: OwnerDispatch
  readonly callerServer: CallerServer
  readonly configurationComponents: ConfigurationComponents
  readonly placement: PlacementComponents
  readonly ledger: LedgerComponents
  readonly orders: OrderComponents
  readonly leaving: LeavingComponents
}
