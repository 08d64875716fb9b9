import type { ConfigurationSource } from '@mimosarock/coordination/configuration-source.js'
import type { EndpointHealth } from './endpoint-health.js'
import type { EndpointOwnership } from '../owner/endpoint-ownership.js'
import type { Retirements } from '../retirement/retirements.js'

/** Options of `EndpointStatuses`. */
export interface EndpointStatusesOptions {
  readonly configuration: ConfigurationSource
  readonly owners: EndpointOwnership
  readonly health: Pick<EndpointHealth, 'availability'>
  readonly retirements: Pick<Retirements, 'stateOf'>
  /**
   * Returns the number of requests in flight and queued at an owned endpoint.
   * @param pool name of the pool
   * @param endpoint name of the endpoint
   * @returns undefined for endpoints that this router does not own
   */
  readonly admissionOf: (pool: string, endpoint: string) => { readonly inFlight: number, readonly queued: number } | undefined
}
