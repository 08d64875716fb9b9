import { expect, test } from 'vitest'
import { EndlessEndpoints } from '@mimosarock/gateway/choice/endless-endpoints.js'
import { EndpointPauses } from '@mimosarock/gateway/choice/endpoint-pauses.js'
import type { EndpointEntry } from '@mimosarock/gateway/model/endpoint-entry.js'

const ENDPOINT: EndpointEntry = { id: 'e1', service: 's', address: '10.0.0.1:1', availabilityZone: 'z', slots: 4, isDraining: false, startedAt: 1, revision: 0 }

function createEndless () {
  const clock = { ms: 1_000, now (): number { return this.ms } }
  const pauses = new EndpointPauses(clock)
  return { clock, pauses, endless: new EndlessEndpoints(pauses, clock) }
}

// Guards against a router whose processor is used up by an endpoint that is called again as soon as an answer without end was cut off.
test('an endpoint with one answer after another that do not end is paused for longer and longer times', () => {
  const { clock, pauses, endless } = createEndless()
  const lengths = Array.from({ length: 8 }, () => {
    clock.ms += pauses.remainingMs(ENDPOINT)
    endless.recordEndless(ENDPOINT)
    return pauses.remainingMs(ENDPOINT)
  })
  expect(lengths).toEqual([0, 500, 1_000, 2_000, 4_000, 8_000, 16_000, 16_000])
})

// Guards against one request that leads to such answers and takes the endpoints from all others.
test('an endpoint is not paused while other answers of it end', () => {
  const { pauses, endless } = createEndless()
  for (let index = 0; index < 5; index += 1) {
    endless.recordEndless(ENDPOINT)
    endless.recordEnded(ENDPOINT)
  }
  expect(pauses.remainingMs(ENDPOINT)).toBe(0)
})
