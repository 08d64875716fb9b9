import { expect, test } from 'vitest'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { RunState } from '@mimosarock/schema/run-state.js'
import { LimitsFleet } from './limits-fleet.js'

const ROUTERS = 8
const everyone = Array.from({ length: ROUTERS }, (_, index) => index)

interface Outcome {
  releases: Array<() => void>
  codes: Set<number>
}

/** Asks for requests of the workspace, spread over the routers. */
async function acquire (fleet: LimitsFleet, count: number, routers = everyone): Promise<Outcome> {
  const outcome: Outcome = { releases: [], codes: new Set() }
  await Promise.all(Array.from({ length: count }, async (_, index) => {
    try {
      const router = routers[index % routers.length] ?? 0
      outcome.releases.push(await (fleet.limits[router] as LimitsFleet['limits'][number]).enter(fleet.workspace))
    } catch (error) {
      if (!(error instanceof MimosarockError)) throw error
      expect(error.run).toBe(RunState.NOT_RUN)
      expect(error.retryAfterMs).toBeGreaterThan(0)
      outcome.codes.add(error.code)
    }
  }))
  return outcome
}

test('concurrency is one number for the whole fleet, however the callers are spread', async () => {
  for (const routers of [everyone, [3]]) {
    const fleet = new LimitsFleet(ROUTERS, { concurrency: 12 })
    const first = await acquire(fleet, 40, routers)
    expect(first.releases.length).toBe(12)
    expect([...first.codes]).toEqual([ResultCode.CONCURRENCY_LIMITED])
    for (const release of first.releases) {
      release()
      release()
    }
    // Where slots are scarce, a release returns them without waiting for the renewal.
    await fleet.clock.advance(101)
    expect((await acquire(fleet, 40, [5])).releases.length).toBe(12)
  }
})

test('the rate is one number for the whole fleet', async () => {
  const fleet = new LimitsFleet(ROUTERS, { requestsPerSecond: 20 })
  const codes = new Set<number>()
  let taken = 0
  for (let step = 0; step < 200; step += 1) {
    const outcome = await acquire(fleet, 4, [step % ROUTERS, (step + 3) % ROUTERS])
    taken += outcome.releases.length
    for (const code of outcome.codes) codes.add(code)
    await fleet.clock.advance(50)
  }
  // Ten seconds at 20 a second; the burst is one second's worth, and granted tokens may lapse unused.
  expect(taken).toBeLessThanOrEqual(220)
  expect(taken).toBeGreaterThan(150)
  expect([...codes]).toEqual([ResultCode.RATE_LIMITED])
})

test('a workspace without limits costs no message', async () => {
  const fleet = new LimitsFleet(ROUTERS, {})
  expect((await acquire(fleet, 100)).releases.length).toBe(100)
  expect(fleet.messages).toBe(0)
})

test('a surge far over the limit costs few messages', async () => {
  const fleet = new LimitsFleet(ROUTERS, { concurrency: 4 })
  await acquire(fleet, 10)
  fleet.messages = 0
  for (let step = 0; step < 100; step += 1) {
    await acquire(fleet, 80)
    await fleet.clock.advance(10)
  }
  // Two calls each 100 ms from each router at most, for one second.
  expect(fleet.messages).toBeLessThanOrEqual(ROUTERS * 2 * 10)
})

test('slots of a router that is gone come back after the lease', async () => {
  const fleet = new LimitsFleet(ROUTERS, { concurrency: 12 })
  const home = fleet.homeOf()
  const gone = (home + 1) % ROUTERS
  expect((await acquire(fleet, 12, [gone])).releases.length).toBe(12)
  fleet.cutOff.add(`r${gone}`)
  expect((await acquire(fleet, 1, [home])).releases.length).toBe(0)
  await fleet.clock.advance(7_001)
  expect((await acquire(fleet, 12, [home])).releases.length).toBe(12)
})

test('a new home learns of the slots in use and grants no more than the limit', async () => {
  const fleet = new LimitsFleet(ROUTERS, { concurrency: 12 })
  const home = fleet.homeOf()
  const others = everyone.filter((router) => router !== home)
  expect((await acquire(fleet, 8, others)).releases.length).toBe(8)
  await fleet.see(others, others)
  expect((await acquire(fleet, 40, others)).releases.length).toBe(4)
})

test('two homes during a disagreement grant at most twice the limit', async () => {
  const fleet = new LimitsFleet(ROUTERS, { concurrency: 12 })
  const home = fleet.homeOf()
  const half = everyone.filter((router) => router !== home).slice(0, 4)
  await fleet.see(half, half)
  const granted = (await acquire(fleet, 80)).releases.length
  expect(granted).toBeGreaterThanOrEqual(12)
  expect(granted).toBeLessThanOrEqual(24)
})

test.each([
  { name: 'a limit above the number of routers', concurrency: 16, bound: 32 },
  { name: 'a limit below it', concurrency: 3, bound: 3 + ROUTERS }
])('a home that can not be reached: $name', async ({ concurrency, bound }) => {
  const fleet = new LimitsFleet(ROUTERS, { concurrency })
  const home = fleet.homeOf()
  fleet.cutOff.add(`r${home}`)
  const outcome = await acquire(fleet, 400)
  expect(outcome.releases.length).toBeGreaterThanOrEqual(concurrency)
  expect(outcome.releases.length).toBeLessThanOrEqual(bound)
  expect([...outcome.codes]).toEqual([ResultCode.CONCURRENCY_LIMITED])
})

test('the rate while the home can not be reached stays under the limit and one for each router', async () => {
  const fleet = new LimitsFleet(ROUTERS, { requestsPerSecond: 16 })
  const home = fleet.homeOf()
  fleet.cutOff.add(`r${home}`)
  const others = everyone.filter((router) => router !== home)
  let taken = 0
  for (let step = 0; step < 100; step += 1) {
    taken += (await acquire(fleet, 20, others)).releases.length
    await fleet.clock.advance(100)
  }
  // Seven of eight equal parts of 16 a second over ten seconds, and a burst of two for each router.
  expect(taken).toBeLessThanOrEqual(140 + 14)
  expect(taken).toBeGreaterThan(100)
})
