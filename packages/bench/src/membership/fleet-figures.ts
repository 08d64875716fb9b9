/** What was measured on a fleet of one size. */
export interface FleetFigures {
  readonly routers: number
  /** Start of the first router until all agree, in milliseconds. */
  readonly joined_ms: number
  /** Written by the router that wrote most, while nothing changes. */
  readonly bytes_per_second_worst: number
  readonly bytes_per_second_mean: number
  /** Written beyond that by the worst router when every router reports a new configuration revision. */
  readonly revision_change_bytes_worst: number
  /** Until every router knew every other's new revision, in milliseconds. */
  readonly revision_change_ms: number
  /** Processor time of both ends together, in microseconds. */
  readonly processor_us_per_heartbeat: number
  /** Loss of a router that falls silent until the first router suspects it, in milliseconds. */
  readonly suspected_ms: number
  /** Loss until no router counts it as live, in milliseconds. */
  readonly agreed_ms: number
  /** A router's word that it leaves until all know, in milliseconds. */
  readonly leaving_known_ms: number
}
