import type { CacheKnowledge } from '../contexts/cache-knowledge.js'
import type { EndpointHealth } from './endpoint-health.js'
import type { LoadReport } from '../admission/load-report.js'

/** What admission reads of the watch of endpoints. */
export interface EndpointWatching extends Pick<EndpointHealth, 'availability'> {
  /**
   * Which contexts an owned engine holds.
   * @param pool name of the pool
   * @param endpoint name of the endpoint
   * @returns undefined for endpoints of other owners
   */
  cacheKnowledge (pool: string, endpoint: string): CacheKnowledge | undefined
  /**
   * Calls back after each load report of an owned endpoint.
   * @param listener gets the report
   */
  onLoadReport (listener: (pool: string, endpoint: string, report: LoadReport) => void): void
}
