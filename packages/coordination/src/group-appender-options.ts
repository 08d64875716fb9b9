import type { Clock } from './clock.js'
import type { EventLog } from './event-log.js'
import type { LogService } from './log-service.js'
import type { StreamReplica } from './stream-replica.js'

/** Options of `GroupAppender`. */
export interface GroupAppenderOptions {
  readonly logService: LogService
  /** Replica that follows the stream; an entry is confirmed when this replica has applied it. */
  readonly replica: StreamReplica
  /** Writer id of the records; must be unique for each process start. */
  readonly writerId: string
  readonly clock: Clock
  readonly eventLog: EventLog
  /** Minimum time between the starts of two appends, in milliseconds; entries that arrive in between are batched. */
  readonly groupIntervalMs: number
  /** Timeout of one append call, in milliseconds. */
  readonly appendTimeoutMs: number
  /** Upper bound on the bytes of entries in one record; a single larger entry gets a record of its own. */
  readonly maximumRecordBytes: number
}
