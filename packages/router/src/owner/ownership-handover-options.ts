import type { Clock } from '@mimosarock/coordination/clock.js'
import type { ConfigurationSource } from '@mimosarock/coordination/configuration-source.js'
import type { EventLog } from '@mimosarock/coordination/event-log.js'
import type { HeartbeatMembership } from '@mimosarock/coordination/membership/heartbeat-membership.js'
import type { PeerMessenger } from '@mimosarock/coordination/peer-messenger.js'
import type { DisplacedChats } from '@mimosarock/placement/displaced-chats.js'
import type { EndpointOwnership } from './endpoint-ownership.js'

/** Options of `OwnershipHandover`. */
export interface OwnershipHandoverOptions {
  readonly configuration: ConfigurationSource
  readonly membership: Pick<HeartbeatMembership, 'self' | 'leave'>
  readonly owners: EndpointOwnership
  readonly messenger: PeerMessenger
  /** Directory of displaced chats whose primary endpoint is owned by this router. */
  readonly displacedChats: DisplacedChats
  /**
   * Returns the primary endpoint of a chat: of the endpoints that accept new calls, the first in the rendezvous order
   * of its key. Returns undefined for an unknown or empty pool.
   * @param pool name of the pool
   * @param affinityKey affinity key of the chat
   */
  readonly primaryEndpoint: (pool: string, affinityKey: string) => string | undefined
  /**
   * Returns the number of requests that this router has in flight at an endpoint.
   * @param pool name of the pool
   * @param endpoint name of the endpoint
   */
  readonly inFlight: (pool: string, endpoint: string) => number
  /**
   * Records the requests that the previous owner still has in flight at an endpoint that this router now owns.
   * @param pool name of the pool
   * @param endpoint name of the endpoint
   * @param running number of requests in flight
   */
  readonly recordExternalLoad: (pool: string, endpoint: string, running: number) => void
  readonly clock: Clock
  readonly eventLog: EventLog
}
