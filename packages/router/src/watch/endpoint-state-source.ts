import type { CacheIndex } from '../contexts/cache-index.js'
import type { EndpointHealth } from './endpoint-health.js'
import type { LoadReport } from '../admission/load-report.js'

/** Endpoint states that admission depends on. */
export interface EndpointStateSource extends Pick<EndpointHealth, 'availability'> {
  /**
   * Returns the contexts that an owned engine holds according to its cache events.
   * @param pool name of the pool
   * @param endpoint name of the endpoint
   * @returns undefined for endpoints that this router does not own
   */
  cacheIndex (pool: string, endpoint: string): CacheIndex | undefined
  /**
   * Registers a listener that is called after each load report of an owned endpoint.
   * @param listener receives pool name, endpoint name and report
   */
  onLoadReport (listener: (pool: string, endpoint: string, report: LoadReport) => void): void
}
