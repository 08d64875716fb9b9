import type { Clock } from './clock.js'
import type { EventLog } from './event-log.js'
import type { LogFold } from './log-fold.js'
import type { LogService } from './log-service.js'

/** What a stream replica works with. */
export interface StreamReplicaOptions {
  /** Name of the stream. */
  readonly stream: string
  readonly logService: LogService
  /** Applies the stream's entries. */
  readonly fold: LogFold
  readonly clock: Clock
  readonly eventLog: EventLog
  /** How long one read may wait at the log service for a new record, in milliseconds. */
  readonly longPollMs: number
  /** Pause between reads of a replica that is not a reader, in milliseconds. */
  readonly slowPollMs: number
  /** Bound on one read beyond its wait, in milliseconds. */
  readonly readTimeoutMs: number
  /**
   * Whether this replica tails the log by long polls; the others read now and then and learn from peers.
   * Bounds the log service's reads as the fleet grows. Always, if left out.
   */
  readonly isReader?: () => boolean
}
