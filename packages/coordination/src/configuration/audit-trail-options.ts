import type { Clock } from '../clock.js'
import type { EventLog } from '../event-log.js'
import type { RecordAppender } from '../record-appender.js'

/** What an audit trail works with. */
export interface AuditTrailOptions {
  /** Writes the stream `configuration`, whose fold keeps the trail. */
  readonly appender: RecordAppender
  readonly clock: Clock
  readonly eventLog: EventLog
}
