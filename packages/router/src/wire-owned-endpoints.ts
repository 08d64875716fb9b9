import { EndpointAvailability } from '@mimosarock/placement/endpoint-availability.js'
import type { OwnedEndpointParts } from './owned-endpoint-parts.js'
import { ContextEvacuation } from './owner/context-evacuation.js'
import { OwnershipHandover } from './owner/ownership-handover.js'
import { Retirements } from './owner/retirements.js'
import { TrackedDispatch } from './owner/tracked-dispatch.js'
import type { WireOwnedEndpointsOptions } from './wire-owned-endpoints-options.js'

/**
 * Wires the parts that retire owned endpoints by their pools' rules and hand ownerships over at a planned stop.
 * @param options what they work with
 */
export function wireOwnedEndpoints (options: WireOwnedEndpointsOptions): OwnedEndpointParts {
  const { configuration, membership, messenger, owners, watch, placement, order, clock, eventLog } = options
  const dispatch = new TrackedDispatch(options.dispatch)
  const isLive = (pool: string, endpoint: string): boolean => watch.availability(pool, endpoint) === EndpointAvailability.LIVE
  const evacuation = new ContextEvacuation({
    configuration,
    isLive,
    cacheOf: (pool, endpoint) => watch.cacheKnowledge(pool, endpoint),
    carrier: placement.carrier
  })
  const retirements = new Retirements({
    configuration,
    owners,
    selfId: () => membership.self.id,
    steps: {
      mayBegin: (pool, endpoint) => watch.retirementRuns(pool, endpoint),
      inFlight: (pool, endpoint) => dispatch.inFlight(pool, endpoint),
      endInFlight: (pool, endpoint) => dispatch.endInFlight(pool, endpoint),
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
    displaced: placement.displaced,
    firstEndpoint: (poolName, affinityKey) => {
      const index = configuration.current()
      const pool = index?.pools.get(poolName)
      return index === undefined || pool === undefined ? undefined : order.first(index, pool, affinityKey, 1)[0]?.name
    },
    inFlight: (pool, endpoint) => dispatch.inFlight(pool, endpoint),
    noteForeign: (pool, endpoint, running) => placement.admissions.admissionOf(pool, endpoint)?.noteReport(running),
    clock,
    eventLog
  })
  return { dispatch, retirements, handover }
}
