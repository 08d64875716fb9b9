import { expect, test, vi } from 'vitest'
import type { EndpointEntry } from '@mimosarock/gateway/model/endpoint-entry.js'
import { createLargeConfiguration } from './create-large-configuration.js'
import { FleetLinks } from './fleet-links.js'
import { KnowledgeFleet } from './knowledge-fleet.js'
import { useSimulatedTime } from './use-simulated-time.js'

const BOUND_MS = 4_000
const ADDED_ROUTES = 1_480
const BYTES_PER_SECOND = 500_000
/** One in this many routers is slow, and the part of its rate at which it sends. */
const ROUTERS_PER_SLOW_ONE = 4
const SLOW_FACTOR = 0.06
/** Endpoints that register while the change is transferred. */
const STARTING_ENDPOINTS = 20
const START_INTERVAL_MS = 150
const FIRST_ENDPOINTS = 24
const TEST_TIMEOUT_MS = 900_000
const simulated = useSimulatedTime()

function startingEntry (index: number): EndpointEntry {
  return { id: `s${index}`, service: 'app', address: `10.0.1.${index}:1`, availabilityZone: 'z', slots: 16, isDraining: false, startedAt: 1, revision: 1 }
}

// Guards against LIMIT as on cascade-trailhead-grown: a router took the changes of a list for the whole list, and sent its requests to the few endpoints that had just started.
test.each([6, 78, 195])('%i routers: while a large change is late and endpoints register, no router loses the endpoints that were there', async (routers) => {
  const links = new FleetLinks(BYTES_PER_SECOND)
  const fleet = await KnowledgeFleet.start(routers, BOUND_MS, simulated.signal, links)
  links.slowSending(fleet.order.filter((_name, index) => index % ROUTERS_PER_SLOW_ONE === 1), SLOW_FACTOR)
  fleet.store.configurations.put('config', createLargeConfiguration(2, ADDED_ROUTES))
  let fewest = Infinity
  for (let index = 0; index < STARTING_ENDPOINTS; index += 1) {
    fleet.store.endpoints.put(`s${index}`, startingEntry(index))
    await vi.advanceTimersByTimeAsync(START_INTERVAL_MS)
    fewest = Math.min(fewest, ...fleet.order.map((name) => fleet.stateOf(name).endpoints.ready('app').length))
  }
  expect(fewest).toBeGreaterThanOrEqual(FIRST_ENDPOINTS)
}, TEST_TIMEOUT_MS)
