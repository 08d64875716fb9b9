import type { Clock } from '@mimosarock/coordination/clock.js'
import type { ConfigurationSource } from '@mimosarock/coordination/configuration-source.js'
import type { EventLog } from '@mimosarock/coordination/event-log.js'
import type { HeartbeatMembership } from '@mimosarock/coordination/membership/heartbeat-membership.js'
import type { TrafficCounter } from '@mimosarock/coordination/membership/traffic-counter.js'
import type { VmList } from '@mimosarock/coordination/vm-list.js'
import type { EndpointOwnership } from '../owner/endpoint-ownership.js'

/** Options of `WatchedEndpoints`. */
export interface WatchedEndpointsOptions {
  readonly configuration: ConfigurationSource
  readonly membership: HeartbeatMembership
  readonly owners: EndpointOwnership
  readonly vmList: VmList
  readonly clock: Clock
  readonly eventLog: EventLog
  /** Counts the bytes of probes and of reads of load reports and cache events. */
  readonly traffic: TrafficCounter
  readonly connectTimeoutMs: number
  /** Pause between two health probes of an owned endpoint, in milliseconds. */
  readonly pollMs: number
}
