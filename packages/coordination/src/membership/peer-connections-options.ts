import type { Clock } from '../clock.js'
import type { EventLog } from '../event-log.js'
import type { PeerAccess } from './peer-access.js'
import type { PeerMethods } from './peer-methods.js'
import type { TrafficCounter } from './traffic-counter.js'

/** Options of `PeerConnections`. */
export interface PeerConnectionsOptions {
  /** Methods of this router's peer server, to which handlers are added. */
  readonly methods: PeerMethods
  readonly access: PeerAccess
  readonly clock: Clock
  readonly eventLog: EventLog
  /** Counts the bytes written to peers. */
  readonly traffic: TrafficCounter
}
