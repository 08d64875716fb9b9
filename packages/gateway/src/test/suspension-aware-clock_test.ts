import { afterEach, beforeEach, expect, test, vi } from 'vitest'

const times = vi.hoisted(() => ({ monotonic: 1_000, wall: 1_700_000_000_000, uptime: 500 }))
vi.mock('node:os', () => ({ uptime: () => times.uptime }))

const { SuspensionAwareClock } = await import('@mimosarock/gateway/wiring/suspension-aware-clock.js')

beforeEach(() => {
  Object.assign(times, { monotonic: 1_000, wall: 1_700_000_000_000, uptime: 500 })
  vi.spyOn(performance, 'now').mockImplementation(() => times.monotonic)
  vi.spyOn(Date, 'now').mockImplementation(() => times.wall)
})

afterEach(() => vi.restoreAllMocks())

/** Advances all clocks as on a running VM. */
function pass (ms: number): void {
  times.monotonic += ms
  times.wall += ms
  times.uptime += ms / 1_000
}

test('advances with the monotonic clock', () => {
  const clock = new SuspensionAwareClock()
  const start = clock.now()
  pass(1_500)
  expect(clock.now() - start).toBe(1_500)
})

test('includes a suspension, during which the monotonic clock stops', () => {
  const clock = new SuspensionAwareClock()
  const start = clock.now()
  times.wall += 6_000
  times.uptime += 6
  expect(clock.now() - start).toBe(6_000)
})

test('ignores forward and backward steps of the wall clock', () => {
  const clock = new SuspensionAwareClock()
  const start = clock.now()
  times.wall += 2_400_000
  pass(10)
  expect(clock.now() - start).toBeCloseTo(10)
  times.wall -= 4_800_000
  pass(10)
  expect(clock.now() - start).toBeCloseTo(20)
})

test('includes a suspension after a step of the wall clock', () => {
  const clock = new SuspensionAwareClock()
  const start = clock.now()
  times.wall -= 3_600_000
  clock.now()
  times.wall += 4_000
  times.uptime += 4
  expect(clock.now() - start).toBeCloseTo(4_000)
})
