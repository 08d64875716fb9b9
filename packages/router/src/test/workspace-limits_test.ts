import { expect, test } from 'vitest'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { RunState } from '@mimosarock/schema/run-state.js'
import { LimitsFleet } from './limits-fleet.js'

const ROUTERS = 8
const ALL_ROUTERS = Array.from({ length: ROUTERS }, (_, index) => index)

interface Outcome {
  releases: Array<() => void>
  codes: Set<number>
}

/** Requests admission of `count` requests of the workspace, distributed round-robin over the routers. */
async function acquire (fleet: LimitsFleet, count: number, routers = ALL_ROUTERS): Promise<Outcome> {
  const outcome: Outcome = { releases: [], codes: new Set() }
  await Promise.all(Array.from({ length: count }, async (_, index) => {
    try {
      const router = routers[index % routers.length] ?? 0
      outcome.releases.push(await (fleet.limits[router] as LimitsFleet['limits'][number]).acquire(fleet.workspace))
    } catch (error) {
      if (!(error instanceof MimosarockError)) throw error
      expect(error.run).toBe(RunState.NOT_RUN)
      expect(error.retryAfterMs).toBeGreaterThan(0)
      outcome.codes.add(error.code)
    }
  }))
  return outcome
}

test('the concurrency limit applies to the whole fleet, independent of the distribution of callers', async () => {
  for (const routers of [ALL_ROUTERS, [3]]) {
    const fleet = new LimitsFleet(ROUTERS, { concurrency: 12 })
    const first = await acquire(fleet, 40, routers)
    expect(first.releases.length).toBe(12)
    expect([...first.codes]).toEqual([ResultCode.CONCURRENCY_LIMITED])
    for (const release of first.releases) {
      release()
      release()
    }
    // While slots are scarce, released slots are returned to the home without waiting for the renewal.
    await fleet.clock.advance(101)
    expect((await acquire(fleet, 40, [5])).releases.length).toBe(12)
  }
})

test('the rate limit applies to the whole fleet', async () => {
  const fleet = new LimitsFleet(ROUTERS, { requestsPerSecond: 20 })
  const codes = new Set<number>()
  let taken = 0
  for (let step = 0; step < 200; step += 1) {
    const outcome = await acquire(fleet, 4, [step % ROUTERS, (step + 3) % ROUTERS])
    taken += outcome.releases.length
    for (const code of outcome.codes) codes.add(code)
    await fleet.clock.advance(50)
  }
  // Ten seconds at 20 requests per second plus a burst of one second; granted tokens may expire unused.
  expect(taken).toBeLessThanOrEqual(220)
  expect(taken).toBeGreaterThan(150)
  expect([...codes]).toEqual([ResultCode.RATE_LIMITED])
})

test('a workspace without limits causes no messages', async () => {
  const fleet = new LimitsFleet(ROUTERS, {})
  expect((await acquire(fleet, 100)).releases.length).toBe(100)
  expect(fleet.messages).toBe(0)
})

test('a burst far above the limit causes few messages', async () => {
  const fleet = new LimitsFleet(ROUTERS, { concurrency: 4 })
  await acquire(fleet, 10)
  fleet.messages = 0
  for (let step = 0; step < 100; step += 1) {
    await acquire(fleet, 80)
    await fleet.clock.advance(10)
  }
  // At most two messages per 100 ms from each router, for one second.
  expect(fleet.messages).toBeLessThanOrEqual(ROUTERS * 2 * 10)
})

test('slots of a failed router are free again after their lease has expired', async () => {
  const fleet = new LimitsFleet(ROUTERS, { concurrency: 12 })
  const home = fleet.homeNumber()
  const failed = (home + 1) % ROUTERS
  expect((await acquire(fleet, 12, [failed])).releases.length).toBe(12)
  fleet.unreachable.add(`r${failed}`)
  expect((await acquire(fleet, 1, [home])).releases.length).toBe(0)
  await fleet.clock.advance(7_001)
  expect((await acquire(fleet, 12, [home])).releases.length).toBe(12)
})

test('a new home router counts the slots in use and grants no more than the limit', async () => {
  const fleet = new LimitsFleet(ROUTERS, { concurrency: 12 })
  const home = fleet.homeNumber()
  const others = ALL_ROUTERS.filter((router) => router !== home)
  expect((await acquire(fleet, 8, others)).releases.length).toBe(8)
  await fleet.setViews(others, others)
  expect((await acquire(fleet, 40, others)).releases.length).toBe(4)
})

test('two home routers grant at most twice the limit while the routers disagree on the home', async () => {
  const fleet = new LimitsFleet(ROUTERS, { concurrency: 12 })
  const home = fleet.homeNumber()
  const half = ALL_ROUTERS.filter((router) => router !== home).slice(0, 4)
  await fleet.setViews(half, half)
  const granted = (await acquire(fleet, 80)).releases.length
  expect(granted).toBeGreaterThanOrEqual(12)
  expect(granted).toBeLessThanOrEqual(24)
})

test.each([
  { name: 'a limit above the number of routers', concurrency: 16, bound: 32 },
  { name: 'a limit below the number of routers', concurrency: 3, bound: 3 + ROUTERS }
])('the concurrency stays bounded while the home router is unreachable: $name', async ({ concurrency, bound }) => {
  const fleet = new LimitsFleet(ROUTERS, { concurrency })
  const home = fleet.homeNumber()
  fleet.unreachable.add(`r${home}`)
  const outcome = await acquire(fleet, 400)
  expect(outcome.releases.length).toBeGreaterThanOrEqual(concurrency)
  expect(outcome.releases.length).toBeLessThanOrEqual(bound)
  expect([...outcome.codes]).toEqual([ResultCode.CONCURRENCY_LIMITED])
})

test('the rate stays below the limit plus a burst per router while the home router is unreachable', async () => {
  const fleet = new LimitsFleet(ROUTERS, { requestsPerSecond: 16 })
  const home = fleet.homeNumber()
  fleet.unreachable.add(`r${home}`)
  const others = ALL_ROUTERS.filter((router) => router !== home)
  let taken = 0
  for (let step = 0; step < 100; step += 1) {
    taken += (await acquire(fleet, 20, others)).releases.length
    await fleet.clock.advance(100)
  }
  // Seven of eight equal parts of 16 requests per second for ten seconds, plus a burst of two for each router.
  expect(taken).toBeLessThanOrEqual(140 + 14)
  expect(taken).toBeGreaterThan(100)
})
