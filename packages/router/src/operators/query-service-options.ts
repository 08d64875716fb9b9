import type { Clock } from '@mimosarock/coordination/clock.js'
import type { ConfigurationReplica } from '@mimosarock/coordination/configuration/configuration-replica.js'
import type { FleetStatus } from './fleet-status.js'
import type { OperationAdministration } from './operation-administration.js'

/** Options of `QueryService`. */
export interface QueryServiceOptions {
  readonly configuration: ConfigurationReplica
  readonly fleetStatus: FleetStatus
  readonly operations: OperationAdministration
  readonly clock: Clock
}
