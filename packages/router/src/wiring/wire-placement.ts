import type { Clock } from '@mimosarock/coordination/clock.js'
import type { ConfigurationSource } from '@mimosarock/coordination/configuration-source.js'
import type { EventLog } from '@mimosarock/coordination/event-log.js'
import type { Membership } from '@mimosarock/coordination/membership.js'
import type { PeerMessenger } from '@mimosarock/coordination/peer-messenger.js'
import { ContextTransferCost } from '@mimosarock/placement/context-transfer-cost.js'
import { DisplacedChats } from '@mimosarock/placement/displaced-chats.js'
import { EndpointAvailability } from '@mimosarock/placement/endpoint-availability.js'
import { TokenBucket } from '@mimosarock/placement/token-bucket.js'
import { WorkspaceLimits } from '../limits/workspace-limits.js'
import { ContextTransfers } from '../contexts/context-transfers.js'
import { DisplacementReports } from '../contexts/displacement-reports.js'
import { EndpointAdmissions } from '../admission/endpoint-admissions.js'
import type { EndpointClients } from '../watch/endpoint-clients.js'
import type { EndpointOwnership } from '../owner/endpoint-ownership.js'
import type { EndpointStateSource } from '../watch/endpoint-state-source.js'
import { LoadExchange } from '../admission/load-exchange.js'
import type { PlacementComponents } from './placement-components.js'
import type { RouterSettings } from '../settings/router-settings.js'

/** Options of `wirePlacement`. */
interface WirePlacementOptions {
  readonly settings: RouterSettings['placement']
  readonly configuration: ConfigurationSource
  readonly membership: Membership
  readonly messenger: PeerMessenger
  readonly owners: EndpointOwnership
  readonly endpointStates: EndpointStateSource
  readonly clients: EndpointClients
  readonly clock: Clock
  readonly eventLog: EventLog
}

/**
 * Creates the components that place calls at owned endpoints.
 * @param options components and settings that they depend on
 */
export function wirePlacement (options: WirePlacementOptions): PlacementComponents {
  const { settings, configuration, membership, messenger, owners, endpointStates, clients, clock, eventLog } = options
  const selfId = (): string => membership.self.id
  const displacedChats = new DisplacedChats(settings.maximum_displaced_chats, settings.displaced_chat_keep_ms, clock)
  const cost = new ContextTransferCost({
    bytesPerToken: settings.cache_bytes_per_token,
    linkBytesPerMs: settings.link_bytes_per_ms,
    prefillMsPerToken: settings.prefill_us_per_token / 1_000,
    fixedMs: settings.carry_fixed_ms
  })
  const transferBudget = new TokenBucket(settings.carried_bytes_per_second, settings.carried_bytes_per_second, clock)
  const contextTransfers = new ContextTransfers({ clients, cost, byteBudget: transferBudget, clock, eventLog })
  const admissions = new EndpointAdmissions({
    configuration,
    owners,
    selfId,
    isAvailable: (pool, endpoint) => endpointStates.availability(pool, endpoint) === EndpointAvailability.LIVE,
    cacheOf: (pool, endpoint) => endpointStates.cacheIndex(pool, endpoint),
    clock,
    displacedChats,
    contextTransfers,
    maximumQueued: settings.maximum_queued,
    maximumHeldContexts: settings.maximum_held_contexts
  })
  owners.onChange(() => admissions.update())
  // The report of an endpoint also counts requests of other routers that consider themselves its owner.
  endpointStates.onLoadReport((pool, endpoint, report) => admissions.admissionOf(pool, endpoint)?.recordLoadReport(report.running + report.waiting))
  return {
    admissions,
    displacedChats,
    displacementReports: new DisplacementReports({ owners, selfId, messenger, displacedChats, clock }),
    loadExchange: new LoadExchange({ admissions, membership, messenger, clock, periodMs: settings.load_exchange_ms }),
    contextTransfers,
    workspaceLimits: new WorkspaceLimits({ configuration, membership, messenger, clock })
  }
}
