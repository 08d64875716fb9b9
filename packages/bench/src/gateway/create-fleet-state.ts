import { SilentEventLog } from '@mimosarock/coordination/silent-event-log.js'
import type { FleetState } from '@mimosarock/gateway/membership/fleet-state.js'
import type { ElapsedClock } from '@mimosarock/gateway/model/elapsed-clock.js'
import { StoreEra } from '@mimosarock/gateway/model/store-era.js'
import { createFleetState as createState } from '@mimosarock/gateway/wiring/create-fleet-state.js'

/**
 * Creates the state of a router that knows endpoints, with 64 slots each, in 28 availability zones.
 * @param endpoints number of endpoints, named `engine-0` and so on
 * @param services number of services, named `service-0` and so on, that the endpoints belong to in turn
 * @param clock clock of the router
 */
export function createFleetState (endpoints: number, services: number, clock: ElapsedClock): FleetState {
  const log = new SilentEventLog()
  const state = createState({ name: 'self', availabilityZone: 'z', address: 'self' }, new StoreEra(clock, log), clock, log, Math.random, () => ({ overage: 1, tolerance: 0 }))
  state.endpointsFreshness.verifiedAt = clock.now()
  state.endpoints.apply(Array.from({ length: endpoints }, (_, index) => ({
    key: `engine-${index}`,
    value: {
      id: `engine-${index}`,
      service: `service-${index % services}`,
      address: `10.0.${index >> 8}.${index & 255}:8000`,
      availabilityZone: `zone-${index % 28}`,
      slots: 64,
      isDraining: false,
      startedAt: 1,
      revision: 1
    }
  })), undefined)
  return state
}
