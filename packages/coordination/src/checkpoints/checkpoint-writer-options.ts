import type { Clock } from '../clock.js'
import type { EventLog } from '../event-log.js'
import type { Membership } from '../membership.js'
import type { RecordAppender } from '../record-appender.js'
import type { StreamReplica } from '../stream-replica.js'

/** Options of `CheckpointWriter`. */
export interface CheckpointWriterOptions {
  readonly replica: StreamReplica
  /** Appends to the replica's stream. */
  readonly appender: RecordAppender
  readonly membership: Membership
  readonly clock: Clock
  readonly eventLog: EventLog
  /** Retention time of the log service, in milliseconds. */
  readonly retentionMs: number
  /** Upper bound on the bytes of state in one record. */
  readonly maximumPartBytes: number
  /** Rate at which state is written, in bytes per second; exceeded if a large state would otherwise not be written in time. */
  readonly bytesPerSecond: number
  /** Number of records after which a checkpoint is written early. Limits how many records a new router has to read. */
  readonly maximumRecords: number
}
