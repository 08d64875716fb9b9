import type { Clock } from '@mimosarock/coordination/clock.js'
import type { ConfigurationSource } from '@mimosarock/coordination/configuration-source.js'
import type { EventLog } from '@mimosarock/coordination/event-log.js'
import type { EndpointOwnership } from '../owner/endpoint-ownership.js'
import type { RetirementSteps } from './retirement-steps.js'

/** Options of `Retirements`. */
export interface RetirementsOptions {
  readonly configuration: ConfigurationSource
  readonly owners: EndpointOwnership
  /** Returns the id of this router. */
  readonly selfId: () => string
  readonly steps: RetirementSteps
  readonly clock: Clock
  readonly eventLog: EventLog
}
