import type { HeartbeatMembership } from '@mimosarock/coordination/membership/heartbeat-membership.js'
import type { PeerConnections } from '@mimosarock/coordination/membership/peer-connections.js'
import type { PeerServer } from '@mimosarock/coordination/membership/peer-server.js'
import type { ConfigurationParts } from './configuration-parts.js'
import type { CallerServer } from '../caller/caller-server.js'
import type { ForwardServer } from '../forward/forward-server.js'
import type { OwnerDispatch } from '../forward/owner-dispatch.js'
import type { OrderParts } from './order-parts.js'
import type { LeavingParts } from './leaving-parts.js'
import type { LedgerParts } from './ledger-parts.js'
import type { EndpointClients } from '../watch/endpoint-clients.js'
import type { PlacementParts } from './placement-parts.js'
import type { RouterStreams } from './router-streams.js'

/** The parts of a started router that are ended one by one when it stops. */
export interface RouterParts {
  readonly streams: RouterStreams
  readonly clients: EndpointClients
  readonly forwardServer: ForwardServer
  readonly peerServer: PeerServer
  readonly messenger: PeerConnections
  readonly membership: HeartbeatMembership
  readonly ownerDispatch: OwnerDispatch
  readonly callerServer: CallerServer
  readonly configurationParts: ConfigurationParts
  readonly placement: PlacementParts
  readonly ledger: LedgerParts
  readonly orders: OrderParts
  readonly leaving: LeavingParts
}
