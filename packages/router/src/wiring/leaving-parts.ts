import type { EndpointStatuses } from '../watch/endpoint-statuses.js'
import type { OwnershipHandover } from '../owner/ownership-handover.js'
import type { Retirements } from '../retirement/retirements.js'

/** The parts that take endpoints and this router out of service in order. */
export interface LeavingParts {
  readonly retirements: Retirements
  readonly handover: OwnershipHandover
  /** The endpoints as operators see them. */
  readonly statuses: EndpointStatuses
}
