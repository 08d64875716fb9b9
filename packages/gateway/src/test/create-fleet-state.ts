import { SilentEventLog } from '@mimosarock/coordination/silent-event-log.js'
import { HolderTable } from '@mimosarock/gateway/choice/holder-table.js'
import { LoadView } from '@mimosarock/gateway/choice/load-view.js'
import { ConfigurationState } from '@mimosarock/gateway/configuration/configuration-state.js'
import { EndpointTable } from '@mimosarock/gateway/membership/endpoint-table.js'
import type { FleetState } from '@mimosarock/gateway/membership/fleet-state.js'
import { RouterTable } from '@mimosarock/gateway/membership/router-table.js'
import type { ElapsedClock } from '@mimosarock/gateway/model/elapsed-clock.js'
import { PromptQuarantine } from '@mimosarock/gateway/quarantine/prompt-quarantine.js'
import { StoreEra } from '@mimosarock/gateway/model/store-era.js'

/**
 * Creates the state of a router that knows nothing yet.
 * @param name name of the router
 * @param clock clock of the router
 * @param location availability zone, and address, which is the name by default
 */
export function createFleetState (name: string, clock: ElapsedClock, location: { readonly availabilityZone?: string, readonly address?: string } = {}): FleetState {
  const log = new SilentEventLog()
  return {
    storeEra: new StoreEra(clock, log),
    configuration: new ConfigurationState(clock, log),
    endpoints: new EndpointTable(clock, log),
    endpointsFreshness: { verifiedAt: -Infinity },
    routers: new RouterTable({ name, availabilityZone: location.availabilityZone ?? 'z', address: location.address ?? name }, clock),
    holders: new HolderTable(),
    loads: new LoadView(() => clock.now()),
    quarantine: new PromptQuarantine({ clock, log, rank: () => 0 })
  }
}
