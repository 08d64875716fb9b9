import type { ConfigurationSource } from '@mimosarock/coordination/configuration-source.js'
import type { CacheIndex } from '../contexts/cache-index.js'
import type { ContextTransfers } from '../contexts/context-transfers.js'

/** Options of `ContextEvacuation`. */
export interface ContextEvacuationOptions {
  readonly configuration: ConfigurationSource
  /**
   * Returns whether an endpoint accepts new work.
   * @param pool name of the pool
   * @param endpoint name of the endpoint
   */
  readonly isLive: (pool: string, endpoint: string) => boolean
  /**
   * Returns the index of the contexts cached by an engine, if this router owns the engine.
   * @param pool name of the pool
   * @param endpoint name of the endpoint
   */
  readonly cacheOf: (pool: string, endpoint: string) => CacheIndex | undefined
  /** Lets one engine fetch a context from another if the transfer costs less than computing the context again. */
  readonly contextTransfers: Pick<ContextTransfers, 'transfer'>
}
