import type { EndpointStatus, RouterStatus } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'

/** State of the fleet as known to this router. */
export interface FleetStatus {
  /** Returns the live routers, including this one, with the configuration revision that each one reports. */
  routers (): readonly RouterStatus[]
  /** Returns the configured endpoints with their owners and, where this router knows it, their load. */
  endpoints (): readonly EndpointStatus[]
}
