import { ReportedLoads } from '@mimosarock/gateway/loads/reported-loads.js'
import { expect, test } from 'vitest'
import { SteppedClock } from '../../../router/src/test/stepped-clock.js'

const ENDPOINT = { id: 'e', service: 's', address: 'e:1', availabilityZone: 'z', slots: 6, isDraining: false, startedAt: 1, revision: 1 }
const load = (slowdown: number | undefined) => ({ running: 2, waiting: 1, slots: 6, slowdown })

// Guards against a decision by the load of an earlier incarnation, or by one that is long over.
test('keeps the last load of an incarnation for two seconds, and smooths its slowdown over one', async () => {
  const clock = new SteppedClock()
  const loads = new ReportedLoads(clock, { info: () => undefined, warn: () => undefined })
  loads.record(ENDPOINT, load(1))
  await clock.advance(1_000)
  loads.record(ENDPOINT, load(2.5))
  expect(loads.last(ENDPOINT)?.slowdown).toBe(2.5)
  expect(loads.smoothedSlowdown(ENDPOINT)).toBeCloseTo(1 + 1.5 * (1 - Math.exp(-1)))
  expect(loads.last({ ...ENDPOINT, startedAt: 2 })).toBeUndefined()
  loads.record(ENDPOINT, load(undefined))
  expect(loads.smoothedSlowdown(ENDPOINT)).toBeUndefined()
  await clock.advance(2_000)
  expect(loads.last(ENDPOINT)).toBeUndefined()
})

// Guards against a line of the log for each response of an endpoint that states its load wrongly.
test('warns once in a minute of each endpoint whose load cannot be read', async () => {
  const clock = new SteppedClock()
  const warnings: unknown[] = []
  const loads = new ReportedLoads(clock, { info: () => undefined, warn: (event, fields) => { warnings.push([event, fields?.endpoint, fields?.code]) } })
  for (const ms of [0, 59_999, 1]) {
    await clock.advance(ms)
    loads.recordInvalid(ENDPOINT)
  }
  expect(warnings).toEqual([['endpoint-load-invalid', 'e', 3024], ['endpoint-load-invalid', 'e', 3024]])
})
