import type { Clock } from '../clock.js'
import type { EventLog } from '../event-log.js'
import type { PeerAccess } from './peer-access.js'
import type { PeerMethods } from './peer-methods.js'
import type { TrafficCounter } from './traffic-counter.js'

/** What a peer server works with. */
export interface PeerServerOptions {
  /** IP number and port to listen on; port 0 lets the system pick. */
  readonly address: string
  readonly methods: PeerMethods
  readonly access: PeerAccess
  readonly clock: Clock
  readonly eventLog: EventLog
  /** Counts what is written to peers. */
  readonly traffic: TrafficCounter
}
