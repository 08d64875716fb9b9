import type { Clock } from '../clock.js'
import type { PeerMessenger } from '../peer-messenger.js'
import type { RecordAppender } from '../record-appender.js'
import type { StreamReplica } from '../stream-replica.js'
import type { LedgerWriters } from './ledger-writers.js'

/** What a funnelled appender works with. */
export interface FunnelledAppenderOptions {
  /** Number of the partition whose stream is written. */
  readonly partition: number
  readonly replica: StreamReplica
  /** Appends as this router, if it is the writer or no writer can be reached. */
  readonly direct: RecordAppender
  readonly writers: LedgerWriters
  readonly messenger: PeerMessenger
  readonly clock: Clock
  /** How long entries gather before they are sent to the writer together, in milliseconds. */
  readonly gatherMs: number
  /** Bound on one call to a writer, in milliseconds. */
  readonly writerTimeoutMs: number
}
