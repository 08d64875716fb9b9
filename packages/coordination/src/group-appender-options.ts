import type { Clock } from './clock.js'
import type { EventLog } from './event-log.js'
import type { LogService } from './log-service.js'
import type { StreamReplica } from './stream-replica.js'

/** What a group appender works with. */
export interface GroupAppenderOptions {
  readonly logService: LogService
  /** The replica that reads the stream back. */
  readonly replica: StreamReplica
  /** Unique for each start of a process. */
  readonly writerId: string
  readonly clock: Clock
  readonly eventLog: EventLog
  /** Shortest time between the starts of two appends, in milliseconds; entries gather in between. */
  readonly groupIntervalMs: number
  /** Bound on one append call, in milliseconds. */
  readonly appendTimeoutMs: number
  /** Most bytes of entries in one record. */
  readonly maximumRecordBytes: number
}
