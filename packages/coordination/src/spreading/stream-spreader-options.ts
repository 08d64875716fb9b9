import type { Clock } from '../clock.js'
import type { EventLog } from '../event-log.js'
import type { PeerMessenger } from '../peer-messenger.js'
import type { SpreadStream } from './spread-stream.js'

/** What a stream spreader works with. */
export interface StreamSpreaderOptions {
  /** In the same order on every router. */
  readonly streams: readonly SpreadStream[]
  readonly messenger: PeerMessenger
  readonly clock: Clock
  readonly eventLog: EventLog
  /** Bytes a second that this router sends to peers that are behind, in the long run. */
  readonly bytesPerSecond: number
  /** Bytes that it may send at once after a quiet time. */
  readonly burstBytes: number
  /** How long a replica that a peer is ahead of waits for the log service itself, in milliseconds. */
  readonly graceMs: number
}
