import type { Clock } from '@mimosarock/coordination/clock.js'
import type { ConfigurationSource } from '@mimosarock/coordination/configuration-source.js'
import type { DisplacedChats } from '@mimosarock/placement/displaced-chats.js'
import type { OwnerLookup } from '../forward/owner-lookup.js'
import type { CacheKnowledge } from '../contexts/cache-knowledge.js'
import type { ContextCarrier } from '../contexts/context-carrier.js'

/** What admission at owned endpoints works with. */
export interface EndpointAdmissionsOptions {
  readonly configuration: ConfigurationSource
  readonly owners: OwnerLookup
  /** Id of this router. */
  readonly selfId: () => string
  /**
   * Whether an endpoint takes new work.
   * @param pool name of the pool
   * @param endpoint name of the endpoint
   */
  readonly isAvailable: (pool: string, endpoint: string) => boolean
  /**
   * Which contexts an owned engine holds, by its cache events; undefined if it is not watched.
   * @param pool name of the pool
   * @param endpoint name of the endpoint
   */
  readonly cacheOf: (pool: string, endpoint: string) => CacheKnowledge | undefined
  readonly clock: Clock
  /** Chats that lie elsewhere than at their first endpoint, where this router owns the first. */
  readonly displaced: DisplacedChats
  /** Moves contexts between engines. */
  readonly carrier: ContextCarrier
  /** Most requests that wait at one endpoint. */
  readonly maximumQueued: number
  /** Most chats whose context is remembered for one endpoint. */
  readonly maximumHeldContexts: number
}
