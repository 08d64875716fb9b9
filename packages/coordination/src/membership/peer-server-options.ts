import type { Clock } from '../clock.js'
import type { EventLog } from '../event-log.js'
import type { PeerAccess } from './peer-access.js'
import type { PeerMethods } from './peer-methods.js'
import type { TrafficCounter } from './traffic-counter.js'

/** Options of `PeerServer`. */
export interface PeerServerOptions {
  /** IP address and port to listen on; port 0 selects a free port. */
  readonly address: string
  readonly methods: PeerMethods
  readonly access: PeerAccess
  readonly clock: Clock
  readonly eventLog: EventLog
  /** Counts the bytes written to peers. */
  readonly traffic: TrafficCounter
}
