/** Measurements of the membership protocol at one fleet size. */
export interface FleetFigures {
  readonly routers: number
  /** Time from the start of the first router until every router sees every other as live, in milliseconds. */
  readonly joined_ms: number
  /** Highest rate of bytes that a single router sends to its peers in steady state. */
  readonly bytes_per_second_worst: number
  /** Mean rate of bytes that a router sends to its peers in steady state. */
  readonly bytes_per_second_mean: number
  /**
   * Maximum number of bytes that a single router sends in excess of `bytes_per_second_worst` when every router reports
   * a new configuration revision.
   */
  readonly revision_change_bytes_worst: number
  /** Time until every router has received the new revision of every other, in milliseconds. */
  readonly revision_change_ms: number
  /** Processor time of all routers, senders and receivers, divided by the number of heartbeats sent, in microseconds. */
  readonly processor_us_per_heartbeat: number
  /** Time from a router ceasing to respond until the first other router suspects it, in milliseconds. */
  readonly suspected_ms: number
  /** Time from a router ceasing to respond until every other router has removed it, in milliseconds. */
  readonly agreed_ms: number
  /** Time from a router's announcement that it is leaving until every router has received it, in milliseconds. */
  readonly leaving_known_ms: number
}
