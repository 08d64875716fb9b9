import type { Clock } from '@mimosarock/coordination/clock.js'
import type { ConfigurationSource } from '@mimosarock/coordination/configuration-source.js'
import type { DisplacedChats } from '@mimosarock/placement/displaced-chats.js'
import type { OwnerLookup } from '../forward/owner-lookup.js'
import type { CacheIndex } from '../contexts/cache-index.js'
import type { ContextTransfers } from '../contexts/context-transfers.js'

/** Options of `EndpointAdmissions`. */
export interface EndpointAdmissionsOptions {
  readonly configuration: ConfigurationSource
  readonly owners: OwnerLookup
  /** Returns the id of this router. */
  readonly selfId: () => string
  /**
   * Returns whether an endpoint accepts new calls.
   * @param pool name of the pool
   * @param endpoint name of the endpoint
   */
  readonly isAvailable: (pool: string, endpoint: string) => boolean
  /**
   * Returns the contexts that an owned engine holds according to its cache events, or undefined if this router does
   * not read the engine's cache events.
   * @param pool name of the pool
   * @param endpoint name of the endpoint
   */
  readonly cacheOf: (pool: string, endpoint: string) => CacheIndex | undefined
  readonly clock: Clock
  /** Directory of displaced chats whose primary endpoint is owned by this router. */
  readonly displacedChats: DisplacedChats
  /** Transfers contexts from their holders to the engines that admit the chats. */
  readonly contextTransfers: ContextTransfers
  /** Maximum number of requests queued at one endpoint. */
  readonly maximumQueued: number
  /** Maximum number of chats whose contexts are recorded as held by one endpoint. */
  readonly maximumHeldContexts: number
}
