import { expect, test, vi } from 'vitest'
import { ColdFleet } from './cold-fleet.js'
import { useSimulatedTime } from './use-simulated-time.js'

/** Fraction of the permits that has to be used while there are more requests. */
const MINIMUM_USE = 0.6
/** Time until all routers know of an endpoint that has become cold without a restart. */
const KNOWN_MS = 2_500
const FLEETS = [
  ['6 routers', { zones: 3, routersPerZone: 2, endpoints: 12, perSecond: 400 }],
  ['31 routers', { zones: 3, routersPerZone: 31 / 3, endpoints: 12, perSecond: 400 }],
  ['67 routers', { zones: 3, routersPerZone: 67 / 3, endpoints: 12, perSecond: 400 }],
  ['195 routers', { zones: 5, routersPerZone: 39, endpoints: 30, perSecond: 900 }]
] as const
const simulated = useSimulatedTime()

// Guards against a zone that crashes as soon as it returns, and against one that carries nothing while it is cold.
test.each(FLEETS)('%s, a third of the endpoints returns cold under load: the bound holds in every second, most permits are used, then the full share', async (_, load) => {
  const cold = new ColdFleet(load, load.endpoints / 3, simulated.signal)
  cold.fleet.needsWarmFraction = 0.3
  await cold.becomeCold(5_000)
  await vi.advanceTimersByTimeAsync(10_000)
  expect(cold.mostInASecond()).toBeLessThanOrEqual(ColdFleet.ALLOWED)
  expect(cold.rateOfEach(2_000, 5_000)).toBeGreaterThan(MINIMUM_USE * ColdFleet.PERMITS_PER_SECOND)
  expect(cold.rateOfEach(8_500, 10_000)).toBeGreaterThan(0.7 * load.perSecond / load.endpoints)
  expect(cold.fleet.refusals).toBe(0)
}, 120_000)

// Guards against permits of earlier rates, and those of routers that no longer hear of the one that issues them.
test.each(FLEETS)('%s, all endpoints return cold, and a third of the routers is cut off: the bound holds in every second', async (_, load) => {
  const cold = new ColdFleet(load, load.endpoints, simulated.signal)
  await cold.becomeCold(9_000)
  await vi.advanceTimersByTimeAsync(3_000)
  const { names, network } = cold.fleet.fleet
  network.cutOff(names.filter((_name, index) => index % 3 === 0))
  await vi.advanceTimersByTimeAsync(6_000)
  expect(cold.mostInASecond()).toBeLessThanOrEqual(ColdFleet.ALLOWED)
  expect(cold.rateOfEach(1_500, 3_000)).toBeGreaterThan(MINIMUM_USE * ColdFleet.PERMITS_PER_SECOND)
}, 120_000)

// Guards against registrations that differ only in the cold time and do not reach routers which follow others.
test.each(FLEETS)('%s, endpoints become cold without a restart: the bound holds once it is known', async (_, load) => {
  const cold = new ColdFleet(load, load.endpoints / 3, simulated.signal)
  await cold.becomeCold(7_000, false)
  await vi.advanceTimersByTimeAsync(7_000)
  expect(cold.mostInASecond(KNOWN_MS)).toBeLessThanOrEqual(ColdFleet.ALLOWED)
  expect(cold.rateOfEach(KNOWN_MS, 7_000)).toBeGreaterThan(MINIMUM_USE * ColdFleet.PERMITS_PER_SECOND)
}, 120_000)

// Guards against a router that starts, does not know of the cold time and serves all at once.
test('31 routers, one of which starts while endpoints are cold: it knows of them before it serves, and the bound holds', async () => {
  const load = FLEETS[1][1]
  const cold = new ColdFleet(load, load.endpoints, simulated.signal)
  const [started] = cold.fleet.fleet.names as [string]
  cold.fleet.fleet.network.cutOff([started])
  cold.fleet.idle.add(started)
  await cold.becomeCold(8_000)
  await vi.advanceTimersByTimeAsync(2_000)
  cold.fleet.fleet.network.heal()
  await vi.advanceTimersByTimeAsync(1_000)
  expect(cold.fleet.fleet.stateOf(started).warmUps.coldCount).toBe(load.endpoints)
  cold.fleet.idle.clear()
  await vi.advanceTimersByTimeAsync(5_000)
  expect(cold.mostInASecond()).toBeLessThanOrEqual(ColdFleet.ALLOWED)
  expect(cold.rateOfEach(3_000, 8_000)).toBeGreaterThan(MINIMUM_USE * ColdFleet.PERMITS_PER_SECOND)
}, 60_000)
