import type { Clock } from '@mimosarock/coordination/clock.js'
import type { EventLog } from '@mimosarock/coordination/event-log.js'
import type { LogService } from '@mimosarock/coordination/log-service.js'
import type { TrafficCounter } from '@mimosarock/coordination/membership/traffic-counter.js'
import type { PeerMessenger } from '@mimosarock/coordination/peer-messenger.js'
import type { VmList } from '@mimosarock/coordination/vm-list.js'
import type { RouterSettings } from '../settings/router-settings.js'

/** Options of `RouterProcess`. */
export interface RouterProcessOptions {
  readonly settings: RouterSettings
  readonly logService: LogService
  readonly vmList: VmList
  readonly clock: Clock
  readonly eventLog: EventLog
  /** Id in the fleet, unique for each start; random if omitted. */
  readonly routerId?: string
  /** Counts control traffic, including that to the log service and the VM list; a new counter if omitted. */
  readonly traffic?: TrafficCounter
  /** Wraps the connections to peers, for tests and benchmarks that simulate delays and losses on links. */
  readonly decorateMessenger?: (messenger: PeerMessenger) => PeerMessenger
}
