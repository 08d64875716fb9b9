import type { EndpointStatuses } from '../watch/endpoint-statuses.js'
import type { OwnershipHandover } from '../owner/ownership-handover.js'
import type { Retirements } from '../retirement/retirements.js'

/** Components that take endpoints and this router out of service gracefully. */
export interface LeavingComponents {
  readonly retirements: Retirements
  readonly handover: OwnershipHandover
  /** Endpoint states as shown to operators. */
  readonly statuses: EndpointStatuses
}
