import type { Clock } from '../clock.js'
import type { EventLog } from '../event-log.js'
import type { PeerMessenger } from '../peer-messenger.js'
import type { CatchUpStream } from './catch-up-stream.js'

/** Options of `PeerCatchUp`. */
export interface PeerCatchUpOptions {
  /** The streams, in the same order on every router, since messages identify a stream by its index. */
  readonly streams: readonly CatchUpStream[]
  readonly messenger: PeerMessenger
  readonly clock: Clock
  readonly eventLog: EventLog
  /** Maximum average rate at which this router sends records and state to peers that are behind, in bytes per second. */
  readonly bytesPerSecond: number
  /** Maximum burst that this router sends to peers that are behind, in bytes. */
  readonly burstBytes: number
  /** Time that a replica waits for records from the log service before it fetches them from a peer, in milliseconds. */
  readonly graceMs: number
}
