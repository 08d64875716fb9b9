import type { ConfigurationSource } from '@mimosarock/coordination/configuration-source.js'
import type { CacheKnowledge } from '../contexts/cache-knowledge.js'
import type { ContextCarrier } from '../contexts/context-carrier.js'

/** What moving an endpoint's contexts works with. */
export interface ContextEvacuationOptions {
  readonly configuration: ConfigurationSource
  /**
   * Whether an endpoint takes new work.
   * @param pool name of the pool
   * @param endpoint name of the endpoint
   */
  readonly isLive: (pool: string, endpoint: string) => boolean
  /**
   * What is known of an owned engine's contexts.
   * @param pool name of the pool
   * @param endpoint name of the endpoint
   */
  readonly cacheOf: (pool: string, endpoint: string) => CacheKnowledge | undefined
  /** Has one engine fetch a context from another, where that is worth it. */
  readonly carrier: Pick<ContextCarrier, 'carry'>
}
