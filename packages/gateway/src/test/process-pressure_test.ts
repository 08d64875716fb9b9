import { expect, test } from 'vitest'
import { SilentEventLog } from '@mimosarock/coordination/silent-event-log.js'
import { ProcessPressure } from '@mimosarock/gateway/admission/process-pressure.js'
import { SteppedClock } from '../../../router/src/test/stepped-clock.js'

/** Plays turns of given lengths, one after the other. */
async function play (pressure: ProcessPressure, clock: SteppedClock, turns: readonly number[], inWork: number, utilization = 0.5): Promise<void> {
  for (const turnMs of turns) {
    await clock.advance(turnMs)
    pressure.noteTurn(turnMs, inWork, () => utilization)
  }
}

function create (): { pressure: ProcessPressure, clock: SteppedClock } {
  const clock = new SteppedClock()
  return { clock, pressure: new ProcessPressure(clock, new SilentEventLog()) }
}

const times = (count: number, turns: readonly number[]): number[] => Array.from({ length: count }, () => turns).flat()

test('standing overload: every turn is long, and the limit falls to the least', async () => {
  const { pressure, clock } = create()
  await play(pressure, clock, times(5, [200]), 100)
  expect([pressure.isHigh, pressure.limit < 100]).toEqual([true, true])
  await play(pressure, clock, times(40, [200]), 8)
  expect(pressure.limit).toBe(8)
})

test('a processor that pauses once in each tenth of a second: short turns between show that nothing stands', async () => {
  const { pressure, clock } = create()
  await play(pressure, clock, times(50, [90, 2, 3, 5]), 100)
  expect(pressure.limit).toBe(Infinity)
})

test('one long turn, such as a collection of garbage, is no pressure', async () => {
  const { pressure, clock } = create()
  await play(pressure, clock, [...times(20, [10]), 300, ...times(5, [10])], 100)
  expect(pressure.limit).toBe(Infinity)
})

test('a storm of connections: turns are short, but the loop never rests', async () => {
  const { pressure, clock } = create()
  await play(pressure, clock, times(300, [3]), 100, 1)
  expect([pressure.isHigh, pressure.limit < 100]).toEqual([true, true])
})

test('a burst of connections for a third of a second is no pressure', async () => {
  const { pressure, clock } = create()
  for (let burst = 0; burst < 5; burst += 1) {
    await play(pressure, clock, times(100, [3]), 100, 1)
    await play(pressure, clock, times(100, [3]), 100, 0.9)
  }
  expect(pressure.limit).toBe(Infinity)
})

test('after the overload the limit grows again until it is of no use', async () => {
  const { pressure, clock } = create()
  await play(pressure, clock, times(10, [200]), 100)
  const lowest = pressure.limit
  await play(pressure, clock, times(15, [20]), 40)
  expect([pressure.limit > lowest, pressure.isHigh]).toEqual([true, true])
  await play(pressure, clock, times(200, [20]), 20)
  expect(pressure.isHigh).toBe(false)
})
