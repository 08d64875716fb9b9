import type { Clock } from '../clock.js'
import type { EventLog } from '../event-log.js'
import type { Membership } from '../membership.js'
import type { RecordAppender } from '../record-appender.js'
import type { StreamReplica } from '../stream-replica.js'

/** What a checkpoint writer works with. */
export interface CheckpointWriterOptions {
  readonly replica: StreamReplica
  /** Writes the replica's stream. */
  readonly appender: RecordAppender
  readonly membership: Membership
  readonly clock: Clock
  readonly eventLog: EventLog
  /** How long the log service keeps records, in milliseconds. */
  readonly retentionMs: number
  /** Most bytes of state in one record. */
  readonly maximumPartBytes: number
  /** Bytes of state written a second, unless the state is too large to be written in time at that rate. */
  readonly bytesPerSecond: number
  /** Records after which a checkpoint is written early, so that a new router need not read them all. */
  readonly maximumRecords: number
}
