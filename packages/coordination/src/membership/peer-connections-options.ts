import type { Clock } from '../clock.js'
import type { EventLog } from '../event-log.js'
import type { PeerAccess } from './peer-access.js'
import type { PeerMethods } from './peer-methods.js'
import type { TrafficCounter } from './traffic-counter.js'

/** What the connections to peers work with. */
export interface PeerConnectionsOptions {
  /** The methods that this router's peer server answers. */
  readonly methods: PeerMethods
  readonly access: PeerAccess
  readonly clock: Clock
  readonly eventLog: EventLog
  /** Counts what is written to peers. */
  readonly traffic: TrafficCounter
}
