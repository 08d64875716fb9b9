import type { DisplacedChats } from '@mimosarock/placement/displaced-chats.js'
import type { WorkspaceLimits } from '../limits/workspace-limits.js'
import type { ContextCarrier } from '../owner/context-carrier.js'
import type { DisplacementReports } from '../owner/displacement-reports.js'
import type { EndpointAdmissions } from '../owner/endpoint-admissions.js'
import type { LoadExchange } from '../owner/load-exchange.js'

/** The parts of a router that place calls at the endpoints it owns. */
export interface PlacementParts {
  readonly admissions: EndpointAdmissions
  readonly displaced: DisplacedChats
  readonly reports: DisplacementReports
  readonly exchange: LoadExchange
  readonly carrier: ContextCarrier
  readonly limits: WorkspaceLimits
}
