import type { HeartbeatMembership } from '../membership/heartbeat-membership.js'
import type { TrafficCounter } from '../membership/traffic-counter.js'

/** Membership of one router over loopback sockets. */
export interface TestRouter {
  readonly id: string
  readonly address: string
  readonly membership: HeartbeatMembership
  readonly traffic: TrafficCounter
  /** Stops the router without announcing its departure to its peers. */
  crash (): Promise<void>
}
