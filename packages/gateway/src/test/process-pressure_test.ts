import { expect, test } from 'vitest'
import { SilentEventLog } from '@mimosarock/coordination/silent-event-log.js'
import { ProcessPressure } from '@mimosarock/gateway/admission/process-pressure.js'
import { SteppedClock } from '../../../router/src/test/stepped-clock.js'

/** Simulates event loop iterations of the given durations. */
async function simulate (pressure: ProcessPressure, clock: SteppedClock, iterations: readonly number[], inProgress: number, utilization = 0.5): Promise<void> {
  for (const iterationMs of iterations) {
    await clock.advance(iterationMs)
    pressure.recordIteration(iterationMs, inProgress, () => utilization)
  }
}

function create (): { pressure: ProcessPressure, clock: SteppedClock } {
  const clock = new SteppedClock()
  return { clock, pressure: new ProcessPressure(clock, new SilentEventLog()) }
}

const repeat = (count: number, iterations: readonly number[]): number[] => Array.from({ length: count }, () => iterations).flat()

test('persistent overload: every iteration is long, and the limit falls to its lower bound', async () => {
  const { pressure, clock } = create()
  await simulate(pressure, clock, repeat(5, [200]), 100)
  expect([pressure.isHigh, pressure.limit < 100]).toEqual([true, true])
  await simulate(pressure, clock, repeat(40, [200]), 8)
  expect(pressure.limit).toBe(8)
})

test('a processor that pauses once in each tenth of a second is no pressure: the iterations in between are short', async () => {
  const { pressure, clock } = create()
  await simulate(pressure, clock, repeat(50, [90, 2, 3, 5]), 100)
  expect(pressure.limit).toBe(Infinity)
})

test('a single long iteration, such as a garbage collection, is no pressure', async () => {
  const { pressure, clock } = create()
  await simulate(pressure, clock, [...repeat(20, [10]), 300, ...repeat(5, [10])], 100)
  expect(pressure.limit).toBe(Infinity)
})

test('a connection storm: iterations are short, but the event loop is never idle', async () => {
  const { pressure, clock } = create()
  await simulate(pressure, clock, repeat(300, [3]), 100, 1)
  expect([pressure.isHigh, pressure.limit < 100]).toEqual([true, true])
})

test('a connection burst of a third of a second is no pressure', async () => {
  const { pressure, clock } = create()
  for (let burst = 0; burst < 5; burst += 1) {
    await simulate(pressure, clock, repeat(100, [3]), 100, 1)
    await simulate(pressure, clock, repeat(100, [3]), 100, 0.9)
  }
  expect(pressure.limit).toBe(Infinity)
})

test('after an overload the limit grows until it has no effect and is removed', async () => {
  const { pressure, clock } = create()
  await simulate(pressure, clock, repeat(10, [200]), 100)
  const lowest = pressure.limit
  await simulate(pressure, clock, repeat(15, [20]), 40)
  expect([pressure.limit > lowest, pressure.isHigh]).toEqual([true, true])
  await simulate(pressure, clock, repeat(200, [20]), 20)
  expect(pressure.isHigh).toBe(false)
})
