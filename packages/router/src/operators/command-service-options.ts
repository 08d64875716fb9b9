import type { AuditTrail } from '@mimosarock/coordination/configuration/audit-trail.js'
import type { ConfigurationCommands } from '@mimosarock/coordination/configuration/configuration-commands.js'
import type { OperationAdministration } from './operation-administration.js'

/** Options of `CommandService`. */
export interface CommandServiceOptions {
  readonly configurationCommands: ConfigurationCommands
  readonly operations: OperationAdministration
  readonly auditTrail: AuditTrail
}
