import type { Clock } from './clock.js'
import type { EventLog } from './event-log.js'
import type { LogFold } from './log-fold.js'
import type { LogService } from './log-service.js'

/** Options of `StreamReplica`. */
export interface StreamReplicaOptions {
  /** Name of the stream. */
  readonly stream: string
  readonly logService: LogService
  /** State to which the entries of the stream are applied. */
  readonly fold: LogFold
  readonly clock: Clock
  readonly eventLog: EventLog
  /** Time that one long poll waits at the log service for a new record, in milliseconds. */
  readonly longPollMs: number
  /** Interval between reads of a replica that is not a reader, or that has not started and is at the end of the stream, in milliseconds. */
  readonly slowPollMs: number
  /** Timeout of one read in addition to its wait, in milliseconds. */
  readonly readTimeoutMs: number
  /**
   * Returns whether this replica is a reader, which tails the log with long polls. Other replicas read at the slow poll
   * interval and receive records from peers, which bounds the load on the log service as the fleet grows. If omitted,
   * the replica is always a reader.
   */
  readonly isReader?: () => boolean
}
