import { create } from '@bufbuild/protobuf'
import { EndpointStatusSchema } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import type { EndpointStatus } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import type { EndpointStatusesOptions } from './endpoint-statuses-options.js'

/** Every configured endpoint as this router sees it, for operators. Only its owner knows what runs and waits there. */
export class EndpointStatuses {
  private readonly _options: EndpointStatusesOptions

  /**
   * @param options what the view is made of
   */
  constructor (options: EndpointStatusesOptions) {
    this._options = options
  }

  /** The endpoints in the order of the configuration; the state of a retirement goes before the availability. */
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
