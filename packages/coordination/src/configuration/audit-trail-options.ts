import type { Clock } from '../clock.js'
import type { EventLog } from '../event-log.js'
import type { RecordAppender } from '../record-appender.js'

/** Options of `AuditTrail`. */
export interface AuditTrailOptions {
  /** Appends to the stream `configuration`, whose fold stores the audit entries. */
  readonly appender: RecordAppender
  readonly clock: Clock
  readonly eventLog: EventLog
}
