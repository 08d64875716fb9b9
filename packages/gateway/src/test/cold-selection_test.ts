import { beforeEach, expect, test } from 'vitest'
import { EndpointHealth } from '@mimosarock/gateway/choice/endpoint-health.js'
import { EndpointPauses } from '@mimosarock/gateway/choice/endpoint-pauses.js'
import { EndpointSelector } from '@mimosarock/gateway/choice/endpoint-selector.js'
import type { FleetState } from '@mimosarock/gateway/membership/fleet-state.js'
import type { EndpointEntry } from '@mimosarock/gateway/model/endpoint-entry.js'
import { createFleetState } from './create-fleet-state.js'
import { seededRandom } from './seeded-random.js'

const SLOTS = 4
const NONE = { excluded: new Set<string>() }
const URGENT = { ...NONE, needsWarm: true }
const PROMPT = [{ id: 'abc', tokens: 9_000 }, { id: 'ff', tokens: 100 }]

let clock: { time: number, now: () => number }
let state: FleetState
let selector: EndpointSelector

beforeEach(() => {
  clock = { time: 50_000, now (): number { return this.time } }
  state = createFleetState('r', clock)
  const { configuration, endpoints, loads, holders, permits, warmUps } = state
  const warmUp = { durationMs: 3_000, requestsPerSecond: 20 }
  configuration.adopt({ version: 1, routes: [], services: [{ name: 's', maximumConnections: undefined, warmUp }], limits: undefined, workspaces: undefined }, 'store')
  endpoints.apply(['cold', 'w1', 'w2'].map((id) => ({
    key: id,
    value: { id, service: 's', address: `${id}:1`, availabilityZone: 'z', slots: SLOTS, isDraining: false, startedAt: 1, revision: 1, ...(id === 'cold' ? { warmUpLeftMs: 3_000 } : {}) }
  })), undefined)
  selector = new EndpointSelector({
    endpoints,
    loads,
    holders,
    permits,
    warmUps,
    health: new EndpointHealth(clock),
    pauses: new EndpointPauses(clock),
    availabilityZone: 'z',
    routerCount: () => 1,
    random: seededRandom(3),
    loadBoundFactor: () => 2,
    isFleetLarge: () => false
  })
  permits.setQueues({ queued: () => 100, permitsArrived: () => undefined })
})

function getPermits (): void {
  state.permits.refill()
  clock.time += 400
  state.permits.refill()
}

function setLoad (requests: number, ...ids: string[]): void {
  for (const id of ids) for (let count = 0; count < requests; count += 1) state.loads.begin(id)
}

test('without a permit no request goes to a cold endpoint, with permits those go there that may', () => {
  expect(selector.choose('s', [], NONE)?.endpoint.id).not.toBe('cold')
  getPermits()
  expect([NONE, { ...NONE, isShort: true }, URGENT].map((constraints) => selector.choose('s', [], constraints)?.endpoint.id === 'cold')).toEqual([true, true, false])
})

// Guards against urgent requests that are refused although only cold endpoints have capacity.
test('requests that need a warm endpoint go to a cold one only if no warm one has capacity', () => {
  getPermits()
  setLoad(SLOTS, 'w1')
  expect(selector.choose('s', [], URGENT)?.endpoint.id).toBe('w2')
  setLoad(SLOTS, 'w2')
  expect(selector.choose('s', [], URGENT)?.endpoint.id).toBe('cold')
})

test('a request stays with the endpoint that holds its context while that has capacity', () => {
  getPermits()
  state.holders.add('abc', 'w1')
  expect(selector.choose('s', PROMPT, NONE)?.endpoint.id).toBe('w1')
  setLoad(SLOTS, 'w1')
  expect(selector.choose('s', PROMPT, NONE)).toMatchObject({ endpoint: { id: 'cold' }, contextHolder: { id: 'w1' } })
})

test('cold endpoints do not count in the mean of the load bound', () => {
  setLoad(3, 'w1', 'w2')
  expect(selector.choose('s', [], NONE)?.bound).toBe(3 * 2 * 0.8 + 2)
})

test('a cold endpoint is left out of what needs no permit', () => {
  const cold = state.endpoints.find('cold') as EndpointEntry
  expect([state.permits.preferUnlimited(state.endpoints.ready('s')).includes(cold), state.permits.heldFor(cold)]).toEqual([false, 0])
})
