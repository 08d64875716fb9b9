import { create } from '@bufbuild/protobuf'
import type { EndpointStatus } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { EndpointStatusSchema } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import type { EndpointStatusesOptions } from './endpoint-statuses-options.js'

/** The endpoints as this router sees them, for operators. */
export class EndpointStatuses {
  private readonly _options: EndpointStatusesOptions

  /**
   * @param options where the states are read
   */
  constructor (options: EndpointStatusesOptions) {
    this._options = options
  }

  /** All configured endpoints; loads are known of those that this router owns. */
  list (): readonly EndpointStatus[] {
    const pools = this._options.configuration.current()?.configuration.pools ?? []
    return pools.flatMap((pool) => pool.endpoints.map((endpoint) => this._statusOf(pool.name, endpoint.name)))
  }

  private _statusOf (pool: string, endpoint: string): EndpointStatus {
    const { membership, owners, health, admissions } = this._options
    const ownerRouterId = owners.ownerOf(pool, endpoint)?.id ?? ''
    const admission = ownerRouterId === membership.self.id ? admissions.admissionOf(pool, endpoint) : undefined
    return create(EndpointStatusSchema, {
      pool,
      endpoint,
      ownerRouterId,
      state: health.availability(pool, endpoint),
      inFlight: admission?.inFlight ?? 0,
      queued: admission?.queued ?? 0
    })
  }
}
