import type { EventLog } from '@mimosarock/coordination/event-log.js'
import { HolderTable } from '../choice/holder-table.js'
import { LoadView } from '../choice/load-view.js'
import { WorkspaceFairness } from '../fairness/workspace-fairness.js'
import { ZoneEvacuations } from '../evacuation/zone-evacuations.js'
import { EndpointLimits } from '../limits/endpoint-limits.js'
import { FleetPermits } from '../limits/fleet-permits.js'
import { ConfigurationState } from '../configuration/configuration-state.js'
import { EndpointTable } from '../membership/endpoint-table.js'
import type { FleetState } from '../membership/fleet-state.js'
import { RouterTable } from '../membership/router-table.js'
import type { ElapsedClock } from '../model/elapsed-clock.js'
import type { RouterEntry } from '../model/router-entry.js'
import type { StoreEra } from '../model/store-era.js'
import { FleetOutliers } from '../outliers/fleet-outliers.js'
import { RequestQuarantine } from '../quarantine/request-quarantine.js'
import { EffectiveLimits } from '../warm-up/effective-limits.js'
import type { WarmUpBounds } from '../warm-up/warm-up-bounds.js'
import { WarmUpTable } from '../warm-up/warm-up-table.js'

/**
 * Creates the state that routers exchange with each other, of a router that knows nothing yet.
 * @param self entry of the router
 * @param storeEra era of the store that the router uses
 * @param clock clock of the router
 * @param log event log
 * @param random returns a random number from 0 (inclusive) to 1 (exclusive)
 * @param warmUpBounds returns the settings that bound the requests to cold endpoints
 */
export function createFleetState (
  self: RouterEntry, storeEra: StoreEra, clock: ElapsedClock, log: EventLog, random: () => number, warmUpBounds: () => WarmUpBounds
): FleetState {
  const routers = new RouterTable(self, clock)
  const evacuations = new ZoneEvacuations(storeEra, log)
  const endpoints = new EndpointTable(clock, log, evacuations)
  const limits = new EndpointLimits(clock, log)
  const configuration = new ConfigurationState(clock, log)
  const warmUps = new WarmUpTable({ endpoints, ruleOf: (service) => configuration.inForce?.service(service)?.warmUp, bounds: warmUpBounds, clock, log })
  const permits = new FleetPermits({
    router: self.name, endpoints, limits: new EffectiveLimits(limits, warmUps), routerCount: () => routers.size, clock, random
  })
  // Permits that were issued before allow more than a cold endpoint takes.
  warmUps.onCold((endpointId) => permits.remove(endpointId))
  endpoints.setRecorder(warmUps)
  return {
    storeEra,
    configuration,
    evacuations,
    endpoints,
    endpointsFreshness: { verifiedAt: -Infinity, outageEndedAt: -Infinity },
    routers,
    holders: new HolderTable(),
    limits,
    warmUps,
    permits,
    fairness: new WorkspaceFairness(clock, log, random),
    outliers: new FleetOutliers({ endpoints, clock, log, random }),
    loads: new LoadView(() => clock.now(), () => routers.size),
    quarantine: new RequestQuarantine({ clock, log, rank: () => routers.ownRank })
  }
}
