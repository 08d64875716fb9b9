import type { Clock } from '@mimosarock/coordination/clock.js'
import type { ConfigurationSource } from '@mimosarock/coordination/configuration-source.js'
import type { EventLog } from '@mimosarock/coordination/event-log.js'
import type { HeartbeatMembership } from '@mimosarock/coordination/membership/heartbeat-membership.js'
import type { PeerMessenger } from '@mimosarock/coordination/peer-messenger.js'
import type { DisplacedChats } from '@mimosarock/placement/displaced-chats.js'
import type { EndpointOwnership } from './endpoint-ownership.js'

/** What handing ownerships over works with. */
export interface OwnershipHandoverOptions {
  readonly configuration: ConfigurationSource
  readonly membership: Pick<HeartbeatMembership, 'self' | 'leave'>
  readonly owners: EndpointOwnership
  readonly messenger: PeerMessenger
  /** Chats whose first endpoint this router owns. */
  readonly displaced: DisplacedChats
  /**
   * First endpoint of a chat's order in a pool.
   * @param pool name of the pool
   * @param affinityKey the chat's key
   */
  readonly firstEndpoint: (pool: string, affinityKey: string) => string | undefined
  /**
   * Requests that this router runs at an endpoint.
   * @param pool name of the pool
   * @param endpoint name of the endpoint
   */
  readonly inFlight: (pool: string, endpoint: string) => number
  /**
   * Takes the number of requests that a former owner still runs at an endpoint which is this router's now.
   * @param pool name of the pool
   * @param endpoint name of the endpoint
   * @param running the number
   */
  readonly noteForeign: (pool: string, endpoint: string, running: number) => void
  readonly clock: Clock
  readonly eventLog: EventLog
}
