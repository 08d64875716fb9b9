import { afterEach, beforeEach, expect, test, vi } from 'vitest'

const times = vi.hoisted(() => ({ steady: 1_000, wall: 1_700_000_000_000, uptime: 500 }))
vi.mock('node:os', () => ({ uptime: () => times.uptime }))

const { SuspensionAwareClock } = await import('@mimosarock/gateway/wiring/suspension-aware-clock.js')

beforeEach(() => {
  Object.assign(times, { steady: 1_000, wall: 1_700_000_000_000, uptime: 500 })
  vi.spyOn(performance, 'now').mockImplementation(() => times.steady)
  vi.spyOn(Date, 'now').mockImplementation(() => times.wall)
})

afterEach(() => vi.restoreAllMocks())

/** Lets time pass as a running VM sees it. */
function pass (ms: number): void {
  times.steady += ms
  times.wall += ms
  times.uptime += ms / 1_000
}

test('time passes as the steady clock tells', () => {
  const clock = new SuspensionAwareClock()
  const start = clock.now()
  pass(1_500)
  expect(clock.now() - start).toBe(1_500)
})

test('a suspension counts, though the steady clock stood still', () => {
  const clock = new SuspensionAwareClock()
  const start = clock.now()
  times.wall += 6_000
  times.uptime += 6
  expect(clock.now() - start).toBe(6_000)
})

test('a step of the time of day changes nothing, forward or back', () => {
  const clock = new SuspensionAwareClock()
  const start = clock.now()
  times.wall += 2_400_000
  pass(10)
  expect(clock.now() - start).toBeCloseTo(10)
  times.wall -= 4_800_000
  pass(10)
  expect(clock.now() - start).toBeCloseTo(20)
})

test('a suspension after a step of the time of day counts', () => {
  const clock = new SuspensionAwareClock()
  const start = clock.now()
  times.wall -= 3_600_000
  clock.now()
  times.wall += 4_000
  times.uptime += 4
  expect(clock.now() - start).toBeCloseTo(4_000)
})
