import type { EndpointAvailability } from '@mimosarock/placement/endpoint-availability.js'

/** Health of the endpoints as known to this router, updated by the outcomes of its calls. */
export interface EndpointHealth {
  /**
   * Returns the availability of an endpoint; only a live endpoint accepts new calls.
   * @param pool name of the pool
   * @param endpoint name of the endpoint
   */
  availability (pool: string, endpoint: string): EndpointAvailability
  /**
   * Records a successful call to an endpoint.
   * @param pool name of the pool
   * @param endpoint name of the endpoint
   */
  recordSuccess (pool: string, endpoint: string): void
  /**
   * Records a call that failed at an endpoint.
   * @param pool name of the pool
   * @param endpoint name of the endpoint
   */
  recordFailure (pool: string, endpoint: string): void
  /**
   * Records a call whose endpoint sent no data before the timeout.
   * @param pool name of the pool
   * @param endpoint name of the endpoint
   */
  recordTimeout (pool: string, endpoint: string): void
}
