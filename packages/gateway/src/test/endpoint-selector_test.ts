import { expect, test } from 'vitest'
import { SilentEventLog } from '@mimosarock/coordination/silent-event-log.js'
import { EndpointSelector } from '@mimosarock/gateway/choice/endpoint-selector.js'
import { EndpointHealth } from '@mimosarock/gateway/choice/endpoint-health.js'
import { EndpointPauses } from '@mimosarock/gateway/choice/endpoint-pauses.js'
import { HolderTable } from '@mimosarock/gateway/choice/holder-table.js'
import { LoadView } from '@mimosarock/gateway/choice/load-view.js'
import { EndpointTable } from '@mimosarock/gateway/membership/endpoint-table.js'
import { createPermits } from './create-permits.js'
import { seededRandom } from './seeded-random.js'

const ENDPOINTS = 8
const NONE = { excluded: new Set<string>() }

function createFixture (isLarge = false, routers = 1, random: () => number = Math.random) {
  const clock = { ms: 50_000, now (): number { return this.ms } }
  const endpoints = new EndpointTable(clock, new SilentEventLog())
  endpoints.apply(Array.from({ length: ENDPOINTS }, (_, index) => ({
    key: `e${index}`,
    value: {
      id: `e${index}`,
      service: 's',
      address: `10.0.0.${index}:80`,
      availabilityZone: `z${index % 2}`,
      slots: 64,
      isDraining: false,
      startedAt: 1,
      revision: 0
    }
  })), undefined)
  const loads = new LoadView(() => clock.now())
  const holders = new HolderTable()
  const health = new EndpointHealth(clock)
  const selector = new EndpointSelector({ endpoints, loads, holders, health, pauses: new EndpointPauses(clock), permits: createPermits(endpoints, clock), availabilityZone: 'z0', loadBoundFactor: () => 2, routerCount: () => routers, random, isFleetLarge: () => isLarge })
  return { clock, endpoints, loads, holders, health, selector }
}

const promptOf = (key: string) => [{ id: 'aa', tokens: 500 }, { id: key, tokens: 9_000 }, { id: 'ff', tokens: 100 }]

/** Assigns requests that never end and returns the number of requests per endpoint. */
function assign (fixture: ReturnType<typeof createFixture>, keys: readonly string[]): number[] {
  for (const key of keys) {
    const chosen = fixture.selector.choose('s', promptOf(key), NONE)
    if (chosen === undefined) throw new Error('no endpoint')
    fixture.loads.begin(chosen.endpoint.id)
    fixture.holders.add(key, chosen.endpoint.id)
  }
  return Array.from({ length: ENDPOINTS }, (_, index) => fixture.loads.total(`e${index}`))
}

test('one hot key: no endpoint exceeds the promised multiple of the mean load by more than three requests', () => {
  const counts = assign(createFixture(), Array.from({ length: 400 }, () => 'abc'))
  const mean = counts.reduce((sum, count) => sum + count, 0) / ENDPOINTS
  expect(Math.max(...counts)).toBeLessThanOrEqual(2 * mean + 3)
})

test('one hot key while all endpoints are nearly full: no endpoint exceeds its slots while another one has a free slot', () => {
  const fixture = createFixture()
  for (let index = 0; index < ENDPOINTS; index += 1) {
    for (let count = 0; count < 56; count += 1) fixture.loads.begin(`e${index}`)
  }
  const counts = assign(fixture, Array.from({ length: ENDPOINTS * 8 }, () => 'abc'))
  expect(counts).toEqual(Array.from({ length: ENDPOINTS }, () => 64))
})

test('a large fleet: the context of a displaced key is copied from the primary of the key, although no router announced it as a holder', () => {
  const fixture = createFixture(true)
  const primary = fixture.selector.choose('s', promptOf('abc'), NONE)
  expect([primary?.isChosenAsPrimary, primary?.contextHolder]).toEqual([true, undefined])
  for (let count = 0; count < 64; count += 1) fixture.loads.begin(primary?.endpoint.id ?? '')
  const displaced = fixture.selector.choose('s', promptOf('abc'), NONE)
  expect([displaced?.isChosenAsPrimary, displaced?.contextHolder?.id]).toEqual([false, primary?.endpoint.id])
})

test('many keys that are requested a second time: at most a tenth of them move to another endpoint', () => {
  const fixture = createFixture()
  const keys = Array.from({ length: 200 }, (_, index) => `${index}0a`)
  assign(fixture, keys)
  const holders = keys.map((key) => fixture.holders.holders(key)[0])
  assign(fixture, keys)
  const moved = keys.filter((key, index) => fixture.holders.holders(key)[0] !== holders[index])
  expect(moved.length).toBeLessThanOrEqual(keys.length / 10)
})

test('a crashed endpoint: its keys move to other endpoints, and it is not used as a source of contexts', () => {
  const fixture = createFixture()
  fixture.holders.add('abc', 'e3')
  fixture.health.recordFailure('e3', true)
  const chosen = fixture.selector.choose('s', promptOf('abc'), NONE)
  expect([chosen?.endpoint.id === 'e3', chosen?.contextHolder]).toEqual([false, undefined])
})

test('one lost response: the holder keeps its keys until a second consecutive failure', () => {
  const fixture = createFixture()
  fixture.holders.add('abc', 'e3')
  fixture.health.recordFailure('e3', false)
  expect(fixture.selector.choose('s', promptOf('abc'), NONE)?.endpoint.id).toBe('e3')
  fixture.health.recordFailure('e3', false)
  const chosen = fixture.selector.choose('s', promptOf('abc'), NONE)
  expect([chosen?.endpoint.id === 'e3', chosen?.contextHolder?.id]).toEqual([false, 'e3'])
})

test('a rolling release: the context is copied from an endpoint that is draining or has just left', () => {
  const fixture = createFixture()
  fixture.holders.add('abc', 'e3')
  const entry = fixture.endpoints.find('e3')
  fixture.endpoints.apply([{ key: 'e3', value: entry === undefined ? undefined : { ...entry, isDraining: true } }], undefined)
  expect(fixture.selector.choose('s', promptOf('abc'), NONE)?.contextHolder?.id).toBe('e3')
  fixture.endpoints.apply([{ key: 'e3', value: undefined }], undefined)
  expect(fixture.selector.choose('s', promptOf('abc'), NONE)?.contextHolder?.id).toBe('e3')
  fixture.clock.ms += 1_900
  fixture.endpoints.removeExpired()
  expect(fixture.selector.choose('s', promptOf('abc'), NONE)?.contextHolder).toBeUndefined()
})

test('several holders: the one in the availability zone of the router is preferred', () => {
  const fixture = createFixture()
  for (const id of ['e1', 'e4', 'e3']) fixture.holders.add('abc', id)
  fixture.loads.begin('e4')
  expect(fixture.selector.choose('s', promptOf('abc'), NONE)?.endpoint.id).toBe('e4')
})

test('no endpoint is selected after all of them were tried', () => {
  const excluded = new Set(Array.from({ length: ENDPOINTS }, (_, index) => `e${index}`))
  expect(createFixture().selector.choose('s', [], { excluded })).toBeUndefined()
})

// Guards against requests of one chat that slot owners spread over all endpoints, each of which then processes the whole prompt.
test('a granted endpoint: the holder or the primary is preferred, and another endpoint is told where to copy the context from', () => {
  const fixture = createFixture(true)
  const { selector, holders, endpoints } = fixture
  const [primary] = selector.preferredFor('s', promptOf('abc')) ?? []
  const other = [...endpoints.entries].find(({ id }) => id !== primary)
  if (primary === undefined || other === undefined) throw new Error('no endpoint')
  expect(selector.choose('s', promptOf('abc'), NONE)?.endpoint.id).toBe(primary)
  expect(selector.chooseGranted({ ...other }, promptOf('abc'))).toMatchObject({ endpoint: { id: other.id }, contextHolder: { id: primary }, isChosenAsPrimary: false })
  expect(selector.chooseGranted({ ...endpoints.find(primary) ?? other }, promptOf('abc'))).toMatchObject({ contextHolder: undefined, isChosenAsPrimary: true })
  holders.add('abc', other.id)
  expect(selector.preferredFor('s', promptOf('abc'))).toEqual([other.id])
  expect(selector.chooseGranted(other, promptOf('abc')).contextHolder).toBeUndefined()
  expect(selector.preferredFor('s', [])).toBeUndefined()
})

// Guards against endpoints above the load bound that are chosen since a sample of two has no others.
test.each([['without a prompt', []], ['whose holders are full', promptOf('abc')]])('many routers: a request %s never goes to an endpoint above the load bound while others are below', (_name, prompt) => {
  const { holders, loads, selector } = createFixture(true, 78, seededRandom(5))
  for (const id of ['e0', 'e1', 'e2']) for (let count = 0; count < 40; count += 1) loads.begin(id)
  for (const id of ['e0', 'e1', 'e2']) holders.add('abc', id)
  const chosen = Array.from({ length: 500 }, () => selector.choose('s', prompt, NONE)?.endpoint.id)
  expect(chosen.filter((id) => ['e0', 'e1', 'e2'].includes(id ?? ''))).toEqual([])
})
