import { expect, test, vi } from 'vitest'
import { KnowledgeFleet } from './knowledge-fleet.js'
import { useSimulatedTime } from './use-simulated-time.js'

/** Sizes of deployments with the time within which a change has to be known, and the one for evacuations. */
const FLEETS = [
  { routers: 6, boundMs: 2_000, evacuationMs: 5_000 },
  { routers: 78, boundMs: 3_000, evacuationMs: 5_000 },
  { routers: 195, boundMs: 4_000, evacuationMs: 5_000 }
]
/** Part of a bound for a request that is on its way. */
const MARGIN_MS = 200
const FREEZE_AFTER_MS = 700
const TEST_TIMEOUT_MS = 400_000
const simulated = useSimulatedTime()

// Guards against DRAIN as in review/1: the other routers followed a reader that had lost the store until what it knew was too old.
test('the reader loses the store, and all others know in time what has changed just after its last read', async () => {
  const [{ routers, boundMs }] = FLEETS as [typeof FLEETS[number]]
  const fleet = await KnowledgeFleet.start(routers, boundMs, simulated.signal)
  const [reader] = fleet.order as [string]
  fleet.setHasStore([reader], false)
  fleet.changeStore()
  const delays = await fleet.storeDelays(boundMs, [reader])
  expect(Math.max(...Object.values(delays))).toBeLessThanOrEqual(boundMs - MARGIN_MS)
})

// Guards against CONFIG as in review/3, and against DRAIN and EVAC for the same cause: besides, each router waited for one that did not answer before it
// asked the next one.
test.each(FLEETS)('$routers routers: the reader loses the store and the next one freezes, and all others know in time what has changed', async ({ routers, boundMs, evacuationMs }) => {
  const fleet = await KnowledgeFleet.start(routers, boundMs, simulated.signal)
  const [reader, second] = fleet.order as [string, string]
  fleet.setHasStore([reader], false)
  fleet.changeStore()
  setTimeout(() => fleet.freeze([second]), FREEZE_AFTER_MS)
  const { endpoints, configuration, evacuation } = await fleet.storeDelays(evacuationMs, [reader, second])
  expect(Math.max(endpoints, configuration)).toBeLessThanOrEqual(boundMs - MARGIN_MS)
  expect(evacuation).toBeLessThanOrEqual(evacuationMs - MARGIN_MS)
}, TEST_TIMEOUT_MS)

/** Calls to the store that a fleet may make in a second, whatever its size, while one router reads for all. */
const READER_CALLS_PER_SECOND = 5
const STEADY_MS = 2_000
const OUTAGE_MS = 4_000
/** Calls in an outage: of those that go on trying, which are the first of the reader order and of each zone, and of each other router. */
const OUTAGE_CALLS_OF_FIRST_READERS = 120
const OUTAGE_CALLS_PER_ROUTER = 3

// Guards against routers that read the store themselves without need: each call is paid for, and the store serves all routers from one budget.
test.each(FLEETS.slice(0, 2))('$routers routers: one of them reads the store for all, and few calls are made while it is unavailable to all', async ({ routers, boundMs }) => {
  const fleet = await KnowledgeFleet.start(routers, boundMs, simulated.signal)
  const before = fleet.storeCalls
  await vi.advanceTimersByTimeAsync(STEADY_MS)
  expect(fleet.storeCalls - before).toBeLessThanOrEqual(READER_CALLS_PER_SECOND * STEADY_MS / 1_000)
  const beforeOutage = fleet.storeCalls
  fleet.setHasStore(fleet.order, false)
  await vi.advanceTimersByTimeAsync(OUTAGE_MS)
  expect(fleet.storeCalls - beforeOutage).toBeLessThanOrEqual(OUTAGE_CALLS_OF_FIRST_READERS + OUTAGE_CALLS_PER_ROUTER * routers)
}, TEST_TIMEOUT_MS)
