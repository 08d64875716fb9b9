import type { Clock } from '../clock.js'
import type { PeerMessenger } from '../peer-messenger.js'
import type { RecordAppender } from '../record-appender.js'
import type { StreamReplica } from '../stream-replica.js'
import type { LedgerWriters } from './ledger-writers.js'

/** Options of `ForwardingAppender`. */
export interface ForwardingAppenderOptions {
  /** Index of the partition whose stream is written. */
  readonly partition: number
  readonly replica: StreamReplica
  /** Appends from this router; used if it is the primary writer or no writer can be reached. */
  readonly directAppender: RecordAppender
  readonly writers: LedgerWriters
  readonly messenger: PeerMessenger
  readonly clock: Clock
  /** Time for which entries are collected before they are sent to the writer as one batch, in milliseconds. */
  readonly batchDelayMs: number
  /** Timeout of one call to a writer, in milliseconds. */
  readonly writerTimeoutMs: number
}
