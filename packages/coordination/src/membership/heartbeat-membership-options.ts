import type { Clock } from '../clock.js'
import type { EventLog } from '../event-log.js'
import type { PeerMessenger } from '../peer-messenger.js'
import type { RouterIdentity } from '../router-identity.js'
import type { VmList } from '../vm-list.js'

/** Options of `HeartbeatMembership`. */
export interface HeartbeatMembershipOptions {
  /** This router; its id should be short, since each heartbeat contains it. */
  readonly self: RouterIdentity
  readonly messenger: PeerMessenger
  /** Source of addresses at which other routers may be found. */
  readonly vmList: VmList
  /** Peer addresses to contact in addition to the ones on the VM list. */
  readonly seeds: readonly string[]
  readonly clock: Clock
  readonly eventLog: EventLog
  /** Interval between heartbeats to the same peer, in milliseconds. */
  readonly heartbeatMs: number
  /** Time from suspecting an unresponsive router to removing it, in milliseconds. */
  readonly suspicionMs: number
}
