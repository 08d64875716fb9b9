import { create } from '@bufbuild/protobuf'
import { EndpointStatusSchema } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import type { EndpointStatus } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import type { EndpointStatusesOptions } from './endpoint-statuses-options.js'

/**
 * Status of every configured endpoint as seen by this router, for operators. The numbers of requests in flight and
 * queued are known only for endpoints that this router owns, and 0 for all others.
 */
export class EndpointStatuses {
  private readonly _options: EndpointStatusesOptions

  /**
   * @param options configuration, owners and sources of the endpoint states
   */
  constructor (options: EndpointStatusesOptions) {
    this._options = options
  }

  /** Returns the endpoints in configuration order. The state of a retirement takes precedence over the availability. */
  list (): EndpointStatus[] {
    const pools = this._options.configuration.current()?.configuration.pools ?? []
    return pools.flatMap((pool) => pool.endpoints.map((endpoint) => this._status(pool.name, endpoint.name)))
  }

  private _status (pool: string, endpoint: string): EndpointStatus {
    const { owners, health, retirements, admissionOf } = this._options
    const admission = admissionOf(pool, endpoint)
    return create(EndpointStatusSchema, {
      pool,
      endpoint,
      ownerRouterId: owners.ownerOf(pool, endpoint)?.id ?? '',
      state: retirements.stateOf(pool, endpoint) ?? health.availability(pool, endpoint),
      inFlight: admission?.inFlight ?? 0,
      queued: admission?.queued ?? 0
    })
  }
}
