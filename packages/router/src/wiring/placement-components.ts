import type { DisplacedChats } from '@mimosarock/placement/displaced-chats.js'
import type { WorkspaceLimits } from '../limits/workspace-limits.js'
import type { ContextTransfers } from '../contexts/context-transfers.js'
import type { DisplacementReports } from '../contexts/displacement-reports.js'
import type { EndpointAdmissions } from '../admission/endpoint-admissions.js'
import type { LoadExchange } from '../admission/load-exchange.js'

/** Components of a router that place calls at the endpoints that it owns. */
export interface PlacementComponents {
  readonly admissions: EndpointAdmissions
  readonly displacedChats: DisplacedChats
  readonly displacementReports: DisplacementReports
  readonly loadExchange: LoadExchange
  readonly contextTransfers: ContextTransfers
  readonly workspaceLimits: WorkspaceLimits
}
