import type { EndpointStatus, RouterStatus } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'

/** What this router knows of the fleet. */
export interface FleetStatus {
  /** Live routers, this one included, with the revision that each reports. */
  routers (): readonly RouterStatus[]
  /** Endpoints as far as this router knows their owners and loads. */
  endpoints (): readonly EndpointStatus[]
}
