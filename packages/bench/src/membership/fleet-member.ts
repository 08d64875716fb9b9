import type { HeartbeatMembership } from '@mimosarock/coordination/membership/heartbeat-membership.js'
import type { TrafficCounter } from '@mimosarock/coordination/membership/traffic-counter.js'

/** A simulated router that runs only the membership protocol, over real sockets. */
export interface FleetMember {
  readonly id: string
  readonly address: string
  readonly membership: HeartbeatMembership
  /** Counts the bytes sent to peers. */
  readonly traffic: TrafficCounter
  /** Returns the number of heartbeats sent. */
  readonly sentHeartbeats: () => number
  /** Stops all tasks and responses without closing any connection, as the loss of a VM does. */
  silence (): void
  /** Stops all tasks and closes the server and all connections. */
  close (): Promise<void>
}
