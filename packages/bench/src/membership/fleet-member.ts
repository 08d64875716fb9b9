import type { HeartbeatMembership } from '@mimosarock/coordination/membership/heartbeat-membership.js'
import type { TrafficCounter } from '@mimosarock/coordination/membership/traffic-counter.js'

/** One router of the bench: its membership alone, over real sockets. */
export interface FleetMember {
  readonly id: string
  readonly address: string
  readonly membership: HeartbeatMembership
  /** Bytes that it wrote to its peers. */
  readonly traffic: TrafficCounter
  /** Heartbeats that it sent. */
  readonly sent: () => number
  /** Stops all tasks and answers without closing a connection, as a lost VM does. */
  silence (): void
  /** Ends it. */
  close (): Promise<void>
}
