import { expect, test } from 'vitest'
import { createLargeConfiguration } from './create-large-configuration.js'
import { FleetLinks } from './fleet-links.js'
import { KnowledgeFleet } from './knowledge-fleet.js'
import { useSimulatedTime } from './use-simulated-time.js'

const ROUTERS = 195
const BOUND_MS = 4_000
const ADDED_ROUTES = 1_480
const BYTES_PER_SECOND = 500_000
const STORE_DELAY_MS = 400
/** One in this many routers is slow, and the part of its rate at which it sends. */
const ROUTERS_PER_SLOW_ONE = 10
const SLOW_FACTOR = 0.06
const TEST_TIMEOUT_MS = 900_000
const simulated = useSimulatedTime()

// Guards against CONFIG in the largest deployment, where a change passes through more routers.
test('195 routers: slow sources and a store that is slow for the reader, and all have a change of 1,480 routes within the bound', async () => {
  const links = new FleetLinks(BYTES_PER_SECOND)
  const fleet = await KnowledgeFleet.start(ROUTERS, BOUND_MS, simulated.signal, links)
  links.slowSending(fleet.order.filter((_name, index) => index % ROUTERS_PER_SLOW_ONE === 1), SLOW_FACTOR)
  fleet.delayStore(fleet.order.slice(0, 1), STORE_DELAY_MS)
  fleet.store.configurations.put('config', createLargeConfiguration(2, ADDED_ROUTES))
  const delayMs = await fleet.longestDelay((state) => state.configuration.version === 2, BOUND_MS, [])
  expect(delayMs).toBeLessThanOrEqual(BOUND_MS)
}, TEST_TIMEOUT_MS)
