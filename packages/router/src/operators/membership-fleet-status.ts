import { create } from '@bufbuild/protobuf'
import type { RouterView } from '@mimosarock/coordination/membership/router-view.js'
import { RouterState } from '@mimosarock/coordination/membership/router-state.js'
import type { EndpointStatus, RouterStatus } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { RouterStatusSchema } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import type { FleetStatus } from './fleet-status.js'

/** The fleet as this router's membership sees it. */
export class MembershipFleetStatus implements FleetStatus {
  private readonly _membership: { routers (): readonly RouterView[] }
  private readonly _endpoints: () => readonly EndpointStatus[]

  /**
   * @param membership knows the routers and the revisions that they report
   * @param endpoints gives what is known of the endpoints
   */
  constructor (membership: { routers (): readonly RouterView[] }, endpoints: () => readonly EndpointStatus[]) {
    this._membership = membership
    this._endpoints = endpoints
  }

  /** Highest revision that any router has reported, removed ones included; 0 if none has. */
  get highestRevision (): number {
    return Math.max(0, ...this._membership.routers().map((view) => view.revision))
  }

  /** Routers that are not removed. */
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

  /** Endpoints as far as this router knows them. */
  endpoints (): readonly EndpointStatus[] {
    return this._endpoints()
  }
}
