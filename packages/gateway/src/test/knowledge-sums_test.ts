import type { EndpointEntry } from '@mimosarock/gateway/model/endpoint-entry.js'
import { expect, test } from 'vitest'
import { KnowledgeFleet } from './knowledge-fleet.js'
import { useSimulatedTime } from './use-simulated-time.js'

/** Sums of the steps in a fleet without faults, in milliseconds. In a large one, a router syncs with the first one of its zone, and that one with the reader. */
const SMALL_FLEET_SUMS = { endpoints: 1_000, configuration: 270, evacuation: 270, quarantine: 250, limits: 500, loads: 500 }
const LARGE_FLEET_SUMS = { endpoints: 1_500, configuration: 770, evacuation: 770, quarantine: 750, limits: 1_500, loads: 1_500 }
const FLEETS = [
  { routers: 6, boundMs: 2_000, sums: SMALL_FLEET_SUMS },
  { routers: 78, boundMs: 3_000, sums: LARGE_FLEET_SUMS },
  { routers: 195, boundMs: 4_000, sums: LARGE_FLEET_SUMS }
]
/** Messages on the way of something that routers learn, and the step in which the tests look. */
const LATENCY_MS = 150
const LIMIT_PER_SECOND = 5
/** Crashes from which a request is quarantined. */
const CRASHES = 3
const TEST_TIMEOUT_MS = 400_000
const simulated = useSimulatedTime()

/** Returns the longest time until a router knows each thing that one follower learns and the store does not hold. */
async function followerDelays (fleet: KnowledgeFleet, limitMs: number): Promise<{ readonly quarantine: number, readonly limits: number, readonly loads: number }> {
  const { endpoints, limits: ownLimits, loads: ownLoads, quarantine: ownQuarantine } = fleet.stateOf(fleet.order.at(-1) as string)
  const endpoint = endpoints.find('e20') as EndpointEntry
  const lost = { content: { prompt: [], fingerprint: 'deadly' }, lostAt: fleet.clock.now(), hasBegun: false }
  ownLimits.record(endpoint, LIMIT_PER_SECOND)
  ownLoads.begin(endpoint.id)
  for (let crash = 0; crash < CRASHES; crash += 1) ownQuarantine.recordCrash({ ...endpoint, id: `crashed${crash}` }, [lost])
  const [quarantine, limits, loads] = await Promise.all([
    fleet.longestDelay((state) => state.quarantine.includes(lost.content), limitMs, []),
    fleet.longestDelay((state) => state.limits.limitOf(endpoint) === LIMIT_PER_SECOND, limitMs, []),
    fleet.longestDelay((state) => state.loads.total(endpoint.id) >= 1, limitMs, [])
  ])
  return { quarantine, limits, loads }
}

// Guards against steps that are added to the way of something that routers learn: the sums are those of docs/design/knowledge-age.md.
test.each(FLEETS)('$routers routers: what the store or one router knows is known to all within the sum of the steps', async ({ routers, boundMs, sums }) => {
  const fleet = await KnowledgeFleet.start(routers, boundMs, simulated.signal)
  fleet.changeStore()
  const delays: typeof sums = { ...await fleet.storeDelays(boundMs, []), ...await followerDelays(fleet, boundMs) }
  const late = Object.entries(delays).filter(([what, delayMs]) => delayMs > sums[what as keyof typeof sums] + LATENCY_MS)
  expect(late).toEqual([])
}, TEST_TIMEOUT_MS)
