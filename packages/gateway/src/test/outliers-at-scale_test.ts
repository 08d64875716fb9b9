import { expect, test, vi } from 'vitest'
import { OutlierFleet } from './outlier-fleet.js'
import { useSimulatedTime } from './use-simulated-time.js'

const SETTLING_MS = 3_000
const FAULT_MS = 5_000
/** Time after a fault in which all endpoints are used again: a third ejection, its trial and the delays of reports. */
const RECOVERY_MS = 14_000
/** Time after which the routers of a group no longer try to reach those outside of it. */
const SPLIT_MS = 25_000
const simulated = useSimulatedTime()
const fleets = [
  ['6 routers', { zones: 3, routersPerZone: 2 }],
  ['31 routers', { zones: 1, routersPerZone: 31 }],
  ['61 routers', { zones: 1, routersPerZone: 61 }],
  ['195 routers', { zones: 3, routersPerZone: 65 }]
] as const
const load = { endpoints: 60, perSecond: 1_200 }

/** Returns the failures that callers would see if the nine endpoints that fail 45% got their share of the requests since then. */
function withoutEjection ({ requests }: OutlierFleet): number {
  return requests * 0.15 * 0.45
}

function ejectedCounts (fleet: OutlierFleet): readonly number[] {
  return fleet.fleet.names.filter((name) => !fleet.idle.has(name)).map((name) => fleet.fleet.stateOf(name).outliers.ejectedCount)
}

const mostEjected = (fleet: OutlierFleet): number => Math.max(...ejectedCounts(fleet))

/** Lets endpoints fail for some seconds and returns the fleet at the end of the fault. */
async function runFault (options: ConstructorParameters<typeof OutlierFleet>[0], failing: number, rate: number): Promise<OutlierFleet> {
  const fleet = new OutlierFleet(options, simulated.signal)
  await vi.advanceTimersByTimeAsync(SETTLING_MS)
  fleet.fail(failing, rate)
  await vi.advanceTimersByTimeAsync(FAULT_MS)
  return fleet
}

// Guards against endpoints that fail nearly half of their requests and get as many as sound ones, since each router sees too few of their answers.
test.each(fleets)('%s: nine of 60 endpoints fail 45 percent, callers see less than half of the failures, all endpoints return', async (_, size) => {
  const fleet = await runFault({ ...size, ...load }, 9, 0.45)
  expect(fleet.failures).toBeLessThan(withoutEjection(fleet) / 2)
  expect(fleet.mostSoundEjected).toBe(0)
  fleet.fail(9, 0)
  await vi.advanceTimersByTimeAsync(RECOVERY_MS)
  expect(mostEjected(fleet)).toBe(0)
}, 120_000)

// Guards against an estimate of the failures without ejection, by which the test above judges, that is too high.
test('6 routers that eject no endpoints: callers see the failures that their shares of the requests cause', async () => {
  const fleet = await runFault({ ...fleets[0][1], ...load, isEnabled: false }, 9, 0.45)
  expect(fleet.failures / withoutEjection(fleet)).toBeGreaterThan(0.9)
  expect(mostEjected(fleet)).toBe(0)
})

// Guards against ejections where none helps: all endpoints are alike, also if no router can report all of them.
test.each([...fleets, ['6 routers, more failing endpoints than a report lists', { zones: 3, routersPerZone: 2, endpoints: 300, perSecond: 3_000 }]] as const)(
  '%s: all endpoints fail 45 percent, none is ejected', async (_, size) => {
    const options = { ...load, ...size }
    const fleet = await runFault(options, options.endpoints, 0.45)
    expect(mostEjected(fleet)).toBe(0)
  }, 120_000)

// Guards against ejections by chance: with few answers of each endpoint, some fail several times the usual part.
test.each([0.02, 0.05, 0.1])('endpoints that all fail a small part (%s) of their requests are not ejected', async (rate) => {
  const fleet = await runFault({ ...fleets[1][1], endpoints: 60, perSecond: 400 }, 60, rate)
  fleet.fail(60, 0)
  expect(mostEjected(fleet)).toBe(0)
})

// Guards against a small service in which 30 percent are less than one endpoint.
test.each(fleets)('%s: one of three endpoints fails all requests and is left out', async (_, size) => {
  const fleet = await runFault({ ...size, endpoints: 3, perSecond: 60 }, 1, 1)
  expect(fleet.failures).toBeLessThan(60)
  expect([...new Set(ejectedCounts(fleet))]).toEqual([1])
}, 120_000)

// Guards against a group that waits for sums which it can't get, and against two lists that exclude each other afterwards.
test.each(fleets)('%s, split into two groups: each group leaves out what fails', async (_, size) => {
  const fleet = new OutlierFleet({ ...size, ...load }, simulated.signal)
  fleet.split(fleet.fleet.names.filter((_name, index) => index % 3 === 0))
  await vi.advanceTimersByTimeAsync(SPLIT_MS)
  fleet.fail(9, 0.45)
  await vi.advanceTimersByTimeAsync(FAULT_MS)
  // The smaller group gets 7 answers of each endpoint a second and takes longer to be sure.
  expect(fleet.failures).toBeLessThan(withoutEjection(fleet) * 0.75)
  // A router that has just lost its source may not know the list.
  expect(ejectedCounts(fleet).filter((count) => count < 5).length / fleet.fleet.names.length).toBeLessThan(0.05)
  expect(fleet.mostSoundEjected).toBe(0)
  fleet.heal()
  fleet.fail(9, 0)
  await vi.advanceTimersByTimeAsync(RECOVERY_MS)
  expect(mostEjected(fleet)).toBe(0)
}, 120_000)

// Guards against ejections that end, or never end, with the router that decided on them.
test.each(fleets)('%s, the one that sums is lost during a fault: failing endpoints stay out, and return afterwards', async (_, size) => {
  const fleet = new OutlierFleet({ ...size, ...load }, simulated.signal)
  await vi.advanceTimersByTimeAsync(SETTLING_MS)
  fleet.fail(9, 0.45)
  await vi.advanceTimersByTimeAsync(2_500)
  const lost = fleet.summingRouter(fleet.fleet.names[0] as string)
  fleet.fleet.network.cutOff([lost])
  fleet.idle.add(lost)
  fleet.fail(9, 0.45)
  await vi.advanceTimersByTimeAsync(FAULT_MS)
  expect(fleet.failures).toBeLessThan(withoutEjection(fleet) / 2)
  expect(fleet.mostSoundEjected).toBe(0)
  fleet.fail(9, 0)
  await vi.advanceTimersByTimeAsync(RECOVERY_MS)
  expect(mostEjected(fleet)).toBe(0)
}, 120_000)
