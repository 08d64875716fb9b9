import type { Clock } from '../clock.js'
import type { EventLog } from '../event-log.js'
import type { PeerMessenger } from '../peer-messenger.js'
import type { RouterIdentity } from '../router-identity.js'
import type { VmList } from '../vm-list.js'

/** What a router's membership works with. */
export interface HeartbeatMembershipOptions {
  /** This router; its id is best kept short, since it travels in each heartbeat. */
  readonly self: RouterIdentity
  readonly messenger: PeerMessenger
  /** Hints of where other routers are. */
  readonly vmList: VmList
  /** Peer addresses to start from beside the VM list. */
  readonly seeds: readonly string[]
  readonly clock: Clock
  readonly eventLog: EventLog
  /** Pause between heartbeats to one peer, in milliseconds. */
  readonly heartbeatMs: number
  /** How long a silent router stays a suspect before it is removed, in milliseconds. */
  readonly suspicionMs: number
}
