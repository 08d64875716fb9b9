import { expect, test, vi } from 'vitest'
import { createConfiguration } from './create-configuration.js'
import { createLargeConfiguration } from './create-large-configuration.js'
import { finalRefusals } from './final-refusals.js'
import { FleetLinks } from './fleet-links.js'
import { KnowledgeFleet } from './knowledge-fleet.js'
import { servedByOlder } from './served-by-older.js'
import { useSimulatedTime } from './use-simulated-time.js'

/** Sizes of deployments with the time within which a change has to be in force. */
const SMALL = { routers: 6, boundMs: 2_000 }
const LARGE = { routers: 76, boundMs: 3_000 }
const ADDED_ROUTES = 1_480
/** Bytes a second that the traffic of callers leaves of the slowest links, which carry 875,000. */
const BYTES_PER_SECOND = 500_000
/** Part of its rate at which a slow router sends. */
const SLOW_FACTOR = 0.06
const STORE_DELAY_MS = 400
/** The reader has received the change then, and is sending it. */
const SENDING_AFTER_MS = 1_000
const SECOND_CHANGE_AFTER_MS = 700
const TEST_TIMEOUT_MS = 600_000
const simulated = useSimulatedTime()

/** What goes wrong, and the names of the routers that can't have the change for that. */
type Disruption = (fleet: KnowledgeFleet, links: FleetLinks) => readonly string[]

const slowSources: Disruption = (fleet, links) => {
  links.slowSending(fleet.order.slice(1, 1 + Math.ceil(fleet.order.length / 10)), SLOW_FACTOR)
  return []
}
const slowReader: Disruption = (fleet, links) => {
  links.slowSending(fleet.order.slice(0, 1), SLOW_FACTOR)
  return []
}
const frozenSources: Disruption = (fleet) => {
  const frozen = fleet.order.filter((_name, index) => index % 5 === 0)
  setTimeout(() => fleet.freeze(frozen), SENDING_AFTER_MS)
  return frozen
}
const slowStore: Disruption = (fleet) => {
  fleet.delayStore(fleet.order.slice(0, 1), STORE_DELAY_MS)
  return []
}
const CASES = [
  { ...SMALL, what: 'slow sources', disrupt: slowSources },
  { ...SMALL, what: 'a reader that sends slowly', disrupt: slowReader },
  { ...SMALL, what: 'a reader that freezes while it sends', disrupt: frozenSources },
  { ...SMALL, what: 'a store that is slow for the reader', disrupt: slowStore },
  { ...LARGE, what: 'slow sources', disrupt: slowSources },
  { ...LARGE, what: 'a reader that sends slowly', disrupt: slowReader },
  { ...LARGE, what: 'routers that freeze while they send', disrupt: frozenSources }
]

// Guards against CONFIG as on tor-mimosa-grown: a router knows within a second that there is a version, and waits for its content as long as one source takes.
test.each(CASES)('$routers routers: $what, and all have a change of 1,480 routes within the bound', async ({ routers, boundMs, disrupt }) => {
  const links = new FleetLinks(BYTES_PER_SECOND)
  const fleet = await KnowledgeFleet.start(routers, boundMs, simulated.signal, links)
  const excluded = disrupt(fleet, links)
  fleet.store.configurations.put('config', createLargeConfiguration(2, ADDED_ROUTES))
  const delayMs = await fleet.longestDelay((state) => state.configuration.version === 2, boundMs * 2, excluded)
  expect(delayMs).toBeLessThanOrEqual(boundMs)
}, TEST_TIMEOUT_MS)

/** Rate that the links leave in a fleet that can't receive the change within the bound. */
const TOO_SLOW_BYTES_PER_SECOND = 200_000
const OBSERVED_MS = 1_000
const OBSERVING_INTERVAL_MS = 100

// Guards against CONFIG where the content is late whatever routers do: a refusal for good is wrong then.
test.each([SMALL, LARGE])('$routers routers on links that are too slow for a change, and none refuses for good what it allows, from the bound on', async ({ routers, boundMs }) => {
  const fleet = await KnowledgeFleet.start(routers, boundMs, simulated.signal, new FleetLinks(TOO_SLOW_BYTES_PER_SECOND))
  const configuration = createLargeConfiguration(2, ADDED_ROUTES)
  fleet.store.configurations.put('config', configuration)
  await vi.advanceTimersByTimeAsync(boundMs)
  expect(fleet.order.filter((name) => fleet.stateOf(name).configuration.version === 1).length).toBeGreaterThan(0)
  for (let elapsedMs = 0; elapsedMs < OBSERVED_MS; elapsedMs += OBSERVING_INTERVAL_MS) {
    expect(finalRefusals(fleet, configuration, boundMs)).toEqual([])
    await vi.advanceTimersByTimeAsync(OBSERVING_INTERVAL_MS)
  }
}, TEST_TIMEOUT_MS)

// Guards against CONFIG in the same place: what the change removes, or moves to another service, was still served by the older version.
test.each([SMALL, LARGE])('$routers routers on links that are too slow for a change, and none serves by the older version, from the bound on', async ({ routers, boundMs }) => {
  const fleet = await KnowledgeFleet.start(routers, boundMs, simulated.signal, new FleetLinks(TOO_SLOW_BYTES_PER_SECOND))
  fleet.store.configurations.put('config', createLargeConfiguration(2, ADDED_ROUTES))
  await vi.advanceTimersByTimeAsync(boundMs)
  for (let elapsedMs = 0; elapsedMs < OBSERVED_MS; elapsedMs += OBSERVING_INTERVAL_MS) {
    expect(servedByOlder(fleet, createConfiguration(1), 2, boundMs)).toEqual([])
    await vi.advanceTimersByTimeAsync(OBSERVING_INTERVAL_MS)
  }
}, TEST_TIMEOUT_MS)

// Guards against a change that follows another one closely and starts its transfer anew each time.
test('6 routers: two large changes in series, and all have each of them within the bound', async () => {
  const fleet = await KnowledgeFleet.start(SMALL.routers, SMALL.boundMs, simulated.signal, new FleetLinks(BYTES_PER_SECOND))
  const delayOf = async (version: number, addedRoutes: number): Promise<number> => {
    fleet.store.configurations.put('config', createLargeConfiguration(version, addedRoutes))
    return await fleet.longestDelay((state) => state.configuration.version >= version, SMALL.boundMs * 2, [])
  }
  const first = delayOf(2, ADDED_ROUTES)
  await vi.advanceTimersByTimeAsync(SECOND_CHANGE_AFTER_MS)
  const second = delayOf(3, ADDED_ROUTES + 400)
  expect(Math.max(await first, await second)).toBeLessThanOrEqual(SMALL.boundMs)
}, TEST_TIMEOUT_MS)
