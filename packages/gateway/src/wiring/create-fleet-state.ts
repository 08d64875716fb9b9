import type { EventLog } from '@mimosarock/coordination/event-log.js'
import { HolderTable } from '../choice/holder-table.js'
import { LoadView } from '../choice/load-view.js'
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

/**
 * Creates the state that routers exchange with each other, of a router that knows nothing yet.
 * @param self entry of the router
 * @param storeEra era of the store that the router uses
 * @param clock clock of the router
 * @param log event log
 * @param random returns a random number from 0 (inclusive) to 1 (exclusive)
 */
export function createFleetState (self: RouterEntry, storeEra: StoreEra, clock: ElapsedClock, log: EventLog, random: () => number): FleetState {
  const routers = new RouterTable(self, clock)
  const endpoints = new EndpointTable(clock, log)
  const limits = new EndpointLimits(clock, log)
  const permits = new FleetPermits({ router: self.name, endpoints, limits, routerCount: () => routers.size, clock, random })
  return {
    storeEra,
    configuration: new ConfigurationState(clock, log),
    endpoints,
    endpointsFreshness: { verifiedAt: -Infinity },
    routers,
    holders: new HolderTable(),
    limits,
    permits,
    outliers: new FleetOutliers({ endpoints, clock, log, random }),
    loads: new LoadView(() => clock.now()),
    quarantine: new RequestQuarantine({ clock, log, rank: () => routers.ownRank })
  }
}
