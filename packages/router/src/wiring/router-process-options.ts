import type { Clock } from '@mimosarock/coordination/clock.js'
import type { EventLog } from '@mimosarock/coordination/event-log.js'
import type { LogService } from '@mimosarock/coordination/log-service.js'
import type { TrafficCounter } from '@mimosarock/coordination/membership/traffic-counter.js'
import type { PeerMessenger } from '@mimosarock/coordination/peer-messenger.js'
import type { VmList } from '@mimosarock/coordination/vm-list.js'
import type { RouterSettings } from '../settings/router-settings.js'

/** What a router process is made of. */
export interface RouterProcessOptions {
  readonly settings: RouterSettings
  readonly logService: LogService
  readonly vmList: VmList
  readonly clock: Clock
  readonly eventLog: EventLog
  /** Name in the fleet, unique for each start; picked at random if left out. */
  readonly routerId?: string
  /** Counts control traffic, also that of the log service and the VM list; a counter of its own if left out. */
  readonly traffic?: TrafficCounter
  /** Stands before the connections to peers, for tests and benches that make links delay and lose. */
  readonly decorateMessenger?: (messenger: PeerMessenger) => PeerMessenger
}
