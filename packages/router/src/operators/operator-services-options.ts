import type { Clock } from '@mimosarock/coordination/clock.js'
import type { ConfigurationReplica } from '@mimosarock/coordination/configuration/configuration-replica.js'
import type { EventLog } from '@mimosarock/coordination/event-log.js'
import type { RecordAppender } from '@mimosarock/coordination/record-appender.js'
import type { RouterSettings } from '../settings/router-settings.js'
import type { FleetStatus } from './fleet-status.js'
import type { OperationAdministration } from './operation-administration.js'

/** Options of `OperatorServices`. */
export interface OperatorServicesOptions {
  readonly settings: RouterSettings
  readonly configuration: ConfigurationReplica
  /** Appends records to the stream `configuration`. */
  readonly appender: RecordAppender
  readonly operations: OperationAdministration
  readonly fleetStatus: FleetStatus
  readonly clock: Clock
  readonly eventLog: EventLog
}
