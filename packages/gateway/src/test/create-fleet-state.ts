import type { EventLog } from '@mimosarock/coordination/event-log.js'
import { SilentEventLog } from '@mimosarock/coordination/silent-event-log.js'
import type { FleetState } from '@mimosarock/gateway/membership/fleet-state.js'
import type { ElapsedClock } from '@mimosarock/gateway/model/elapsed-clock.js'
import { StoreEra } from '@mimosarock/gateway/model/store-era.js'
import { createFleetState as createState } from '@mimosarock/gateway/wiring/create-fleet-state.js'
import { seededRandom } from './seeded-random.js'

/**
 * Creates the state of a router that knows nothing yet.
 * @param name name of the router
 * @param clock clock of the router
 * @param location availability zone, and address, which is the name by default
 * @param log event log
 */
export function createFleetState (
  name: string, clock: ElapsedClock, location: { readonly availabilityZone?: string, readonly address?: string } = {}, log: EventLog = new SilentEventLog()
): FleetState {
  const self = { name, availabilityZone: location.availabilityZone ?? 'z', address: location.address ?? name }
  const random = seededRandom([...name].reduce((sum, letter) => sum * 31 + letter.charCodeAt(0), 7) % 65_536)
  return createState(self, new StoreEra(clock, log), clock, log, random, () => ({ overage: 1.5, tolerance: 5 }))
}
