import type { Clock } from '../clock.js'
import type { RecordAppender } from '../record-appender.js'
import type { AuditTrail } from './audit-trail.js'
import type { ConfigurationReplica } from './configuration-replica.js'

/** Options of `ConfigurationCommands`. */
export interface ConfigurationCommandsOptions {
  readonly configuration: ConfigurationReplica
  /** Appends to the stream `configuration`. */
  readonly appender: RecordAppender
  readonly auditTrail: AuditTrail
  readonly clock: Clock
}
