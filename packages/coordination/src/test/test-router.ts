import type { HeartbeatMembership } from '../membership/heartbeat-membership.js'
import type { TrafficCounter } from '../membership/traffic-counter.js'

/** One router's membership over real sockets on loopback. */
export interface TestRouter {
  readonly id: string
  readonly address: string
  readonly membership: HeartbeatMembership
  readonly traffic: TrafficCounter
  /** Ends it without a word to its peers. */
  crash (): Promise<void>
}
