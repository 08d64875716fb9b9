import { createServer, type Server } from 'node:http'
import type { ElapsedClock } from '../model/elapsed-clock.js'
import type { GatewayState } from '../model/gateway-state.js'
import type { HeldBytes } from '../memory/held-bytes.js'
import type { FleetState } from '../membership/fleet-state.js'
import type { GatewayMetrics } from './gateway-metrics.js'

const OK = 200
const FAILED = 500
const MS_PER_SECOND = 1_000

/**
 * Creates an HTTP server that exposes the metrics in the Prometheus text format.
 * @param metrics metrics to expose
 * @param fleetState source of the gauges of the configuration and the endpoints, which are updated at each request
 * @param clock clock by which the endpoints were verified
 * @param state source of the gauge of requests in flight, which is updated at each request
 * @param heldBytes source of the gauge of held bytes, which is updated at each request
 * @param ownedServices returns the services whose slots this router owns
 */
export function createMetricsServer (
  metrics: GatewayMetrics, fleetState: FleetState, clock: ElapsedClock, state: GatewayState, heldBytes: HeldBytes, ownedServices: () => readonly string[]
): Server {
  return createServer((_request, response) => {
    const { configuration, endpoints, endpointsFreshness, evacuations, fairness, limits, loads, outliers, quarantine, storeEra, warmUps } = fleetState
    metrics.limitedWorkspaces.set(fairness.limitedCount)
    metrics.limitedEndpoints.set(limits.limitedIds.filter((id) => endpoints.find(id) !== undefined).length)
    metrics.coldEndpoints.set(warmUps.coldCount)
    metrics.countedRouters.set(loads.countedRouters + 1)
    metrics.fleetLoadFraction.set(loads.fleetFraction)
    metrics.evacuatedZones.set(evacuations.zones.size)
    metrics.ejectedEndpoints.set(outliers.ejectedCount)
    metrics.quarantinedParts.set(quarantine.partCount)
    metrics.quarantinedRequests.set(quarantine.requestCount)
    if (storeEra.number !== undefined) metrics.storeEra.set(storeEra.number)
    metrics.configurationVersion.set(configuration.version)
    metrics.configurationAgeSeconds.set(configuration.ageMs / MS_PER_SECOND)
    metrics.endpointsAgeSeconds.set((clock.now() - endpointsFreshness.verifiedAt) / MS_PER_SECOND)
    metrics.requestsInFlight.set(state.requestsInFlight)
    metrics.heldBytes.set(heldBytes.total)
    metrics.slotOwner.reset()
    for (const service of ownedServices()) metrics.slotOwner.set({ service }, 1)
    metrics.registry.metrics().then(
      (text) => response.writeHead(OK, { 'content-type': metrics.registry.contentType }).end(text),
      (error: Error) => response.writeHead(FAILED).end(error.message)
    )
  })
}
