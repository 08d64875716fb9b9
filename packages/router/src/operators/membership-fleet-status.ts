import { create } from '@bufbuild/protobuf'
import type { RouterView } from '@mimosarock/coordination/membership/router-view.js'
import { RouterState } from '@mimosarock/coordination/membership/router-state.js'
import type { EndpointStatus, RouterStatus } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { RouterStatusSchema } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import type { FleetStatus } from './fleet-status.js'

/** Fleet status derived from this router's view of the membership. */
export class MembershipFleetStatus implements FleetStatus {
  private readonly _membership: { routers (): readonly RouterView[] }
  private readonly _endpoints: () => readonly EndpointStatus[]

  /**
   * @param membership provides the routers and the revisions that they report
   * @param endpoints returns the status of the endpoints
   */
  constructor (membership: { routers (): readonly RouterView[] }, endpoints: () => readonly EndpointStatus[]) {
    this._membership = membership
    this._endpoints = endpoints
  }

  /** Highest revision that any router has reported, including removed routers; 0 if none has reported one. */
  get highestRevision (): number {
    return Math.max(0, ...this._membership.routers().map((view) => view.revision))
  }

  /** Returns the routers that have not been removed from the fleet. */
  routers (): readonly RouterStatus[] {
    return this._membership.routers()
      .filter((view) => view.state !== RouterState.REMOVED)
      .map((view) => create(RouterStatusSchema, {
        routerId: view.identity.id,
        availabilityZone: view.identity.availabilityZone,
        state: view.state,
        revision: BigInt(view.revision)
      }))
  }

  /** Returns the status of the endpoints as known to this router. */
  endpoints (): readonly EndpointStatus[] {
    return this._endpoints()
  }
}
