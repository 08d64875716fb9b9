import type { Clock } from '../clock.js'
import type { RecordAppender } from '../record-appender.js'
import type { AuditTrail } from './audit-trail.js'
import type { ConfigurationReplica } from './configuration-replica.js'

/** What configuration commands work with. */
export interface ConfigurationCommandsOptions {
  readonly configuration: ConfigurationReplica
  /** Writes the stream `configuration`. */
  readonly appender: RecordAppender
  readonly auditTrail: AuditTrail
  readonly clock: Clock
}
