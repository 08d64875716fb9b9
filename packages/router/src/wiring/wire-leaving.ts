import type { Clock } from '@mimosarock/coordination/clock.js'
import type { ConfigurationSource } from '@mimosarock/coordination/configuration-source.js'
import type { EventLog } from '@mimosarock/coordination/event-log.js'
import type { HeartbeatMembership } from '@mimosarock/coordination/membership/heartbeat-membership.js'
import type { PeerMessenger } from '@mimosarock/coordination/peer-messenger.js'
import { EndpointAvailability } from '@mimosarock/placement/endpoint-availability.js'
import type { PoolOrder } from '../entry/pool-order.js'
import type { LeavingComponents } from './leaving-components.js'
import { ContextEvacuation } from '../retirement/context-evacuation.js'
import type { EndpointOwnership } from '../owner/endpoint-ownership.js'
import { EndpointStatuses } from '../watch/endpoint-statuses.js'
import { OwnershipHandover } from '../owner/ownership-handover.js'
import { Retirements } from '../retirement/retirements.js'
import type { TrackedDispatch } from '../admission/tracked-dispatch.js'
import type { WatchedEndpoints } from '../watch/watched-endpoints.js'
import type { PlacementComponents } from './placement-components.js'

/** Options of `wireLeaving`. */
interface WireLeavingOptions {
  readonly configuration: ConfigurationSource
  readonly membership: HeartbeatMembership
  readonly owners: EndpointOwnership
  readonly watchedEndpoints: WatchedEndpoints
  readonly dispatch: TrackedDispatch
  readonly placement: PlacementComponents
  readonly poolOrder: PoolOrder
  readonly messenger: PeerMessenger
  readonly clock: Clock
  readonly eventLog: EventLog
}

/**
 * Creates the components that retire endpoints and hand over ownership when this router stops.
 * @param options components that they depend on
 */
export function wireLeaving (options: WireLeavingOptions): LeavingComponents {
  const { configuration, membership, owners, watchedEndpoints, dispatch, placement, poolOrder, messenger, clock, eventLog } = options
  const evacuation = new ContextEvacuation({
    configuration,
    isLive: (pool, endpoint) => watchedEndpoints.availability(pool, endpoint) === EndpointAvailability.LIVE,
    cacheOf: (pool, endpoint) => watchedEndpoints.cacheIndex(pool, endpoint),
    contextTransfers: placement.contextTransfers
  })
  const retirements = new Retirements({
    configuration,
    owners,
    selfId: () => membership.self.id,
    steps: {
      mayBegin: (pool, endpoint) => watchedEndpoints.isRetirementActive(pool, endpoint),
      inFlight: (pool, endpoint) => dispatch.inFlight(pool, endpoint),
      abortInFlight: (pool, endpoint) => dispatch.abortInFlight(pool, endpoint),
      exportContext: async (pool, endpoint, signal) => await evacuation.evacuate(pool, endpoint, signal)
    },
    clock,
    eventLog
  })
  const handover = new OwnershipHandover({
    configuration,
    membership,
    owners,
    messenger,
    displacedChats: placement.displacedChats,
    primaryEndpoint: (name, key) => {
      const index = configuration.current()
      const pool = index?.pools.get(name)
      return index === undefined || pool === undefined ? undefined : poolOrder.first(index, pool, key, 1)[0]?.name
    },
    inFlight: (pool, endpoint) => dispatch.inFlight(pool, endpoint),
    recordExternalLoad: (pool, endpoint, running) => placement.admissions.admissionOf(pool, endpoint)?.recordLoadReport(running),
    clock,
    eventLog
  })
  const statuses = new EndpointStatuses({
    configuration,
    owners,
    health: watchedEndpoints,
    retirements,
    admissionOf: (pool, endpoint) => owners.ownerOf(pool, endpoint)?.id === membership.self.id
      ? placement.admissions.admissionOf(pool, endpoint)
      : undefined
  })
  return { retirements, handover, statuses }
}
