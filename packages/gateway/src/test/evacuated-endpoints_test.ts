import { beforeEach, expect, test } from 'vitest'
import { hash } from '@mimosarock/placement/hash.js'
import { EndpointHealth } from '@mimosarock/gateway/choice/endpoint-health.js'
import { EndpointPauses } from '@mimosarock/gateway/choice/endpoint-pauses.js'
import { EndpointSelector } from '@mimosarock/gateway/choice/endpoint-selector.js'
import type { FleetState } from '@mimosarock/gateway/membership/fleet-state.js'
import { createFleetState } from './create-fleet-state.js'
import { seededRandom } from './seeded-random.js'

const clock = { now: () => 10_000 }
const NONE = { excluded: new Set<string>() }
const PROMPT = [{ id: 'abc', tokens: 9_000 }, { id: 'ff', tokens: 100 }]

let state: FleetState
let selector: EndpointSelector

beforeEach(async () => {
  await hash.load()
  state = createFleetState('r', clock)
  selector = new EndpointSelector({
    ...state,
    health: new EndpointHealth(clock),
    pauses: new EndpointPauses(clock),
    availabilityZone: 'z0',
    isFleetLarge: () => true,
    routerCount: () => 100,
    random: seededRandom(3),
    loadBoundFactor: () => 2
  })
  state.endpoints.replace(Array.from({ length: 6 }, (_, index) => ({
    id: `e${index}`, service: 'app', address: `a${index}`, availabilityZone: `z${index % 3}`, slots: 8, isDraining: false, startedAt: 1, revision: 0
  })), undefined)
})

let offset = 1

function evacuate (...zones: string[]): void {
  offset += 1
  state.evacuations.recordReading({ offset, zones, isSettled: true })
}

test('endpoints of an evacuated zone are not ready, take no call that waits for a connection, and remain sources of contexts', () => {
  const [endpoint] = state.endpoints.ready('app')
  if (endpoint === undefined) throw new Error('no endpoint')
  expect(selector.isUsable(endpoint)).toBe(true)
  evacuate('z0')
  expect([state.endpoints.ready('app').map(({ id }) => id), selector.isUsable(endpoint)]).toEqual([['e1', 'e2', 'e4', 'e5'], false])
  expect(state.endpoints.findContextSource('e0')?.id).toBe('e0')
  evacuate()
  expect([state.endpoints.ready('app').length, selector.isUsable(endpoint)]).toEqual([6, true])
})

test('no request is sent to an evacuated zone, with or without a prompt, even if an endpoint there holds the context', () => {
  state.holders.add('abc', 'e0')
  evacuate('z0')
  for (let count = 0; count < 50; count += 1) {
    expect(selector.choose('app', [], NONE)?.endpoint.availabilityZone).not.toBe('z0')
    expect(selector.choose('app', PROMPT, NONE)).toMatchObject({ contextHolder: { id: 'e0' } })
    expect(selector.choose('app', PROMPT, NONE)?.endpoint.availabilityZone).not.toBe('z0')
  }
})

// In a large fleet, primaries are not announced as holders, so the evacuation of a primary would lose its contexts on all routers.
test('in a large fleet, the context of a key is copied from its evacuated primary, and its new holder is announced', () => {
  const primary = selector.choose('app', PROMPT, NONE)?.endpoint
  evacuate(primary?.availabilityZone ?? '')
  const chosen = selector.choose('app', PROMPT, NONE)
  expect([chosen?.contextHolder?.id, chosen?.isChosenAsPrimary]).toEqual([primary?.id, false])
  evacuate()
  expect(selector.choose('app', PROMPT, NONE)).toMatchObject({ endpoint: { id: primary?.id }, isChosenAsPrimary: true })
})

test('with all zones evacuated, no endpoint is left', () => {
  evacuate('z0', 'z1', 'z2')
  expect([selector.choose('app', PROMPT, NONE), state.endpoints.evacuated('app').length]).toEqual([undefined, 6])
})

// Guards against a bound that rises while endpoints stand idle: the promised multiple is of the mean over all endpoints of the service.
test('endpoints of an evacuated zone count in the mean of the load bound', () => {
  for (let count = 0; count < 6; count += 1) for (const id of ['e1', 'e2', 'e4', 'e5']) state.loads.begin(id)
  evacuate('z0')
  expect(selector.choose('app', PROMPT, NONE)?.bound).toBeCloseTo(24 / 6 * 2 * 0.8 + 2)
})
