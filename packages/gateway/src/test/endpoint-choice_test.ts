import { expect, test } from 'vitest'
import { SilentEventLog } from '@mimosarock/coordination/silent-event-log.js'
import { EndpointChoice } from '@mimosarock/gateway/choice/endpoint-choice.js'
import { EndpointHealth } from '@mimosarock/gateway/choice/endpoint-health.js'
import { HolderTable } from '@mimosarock/gateway/choice/holder-table.js'
import { LoadView } from '@mimosarock/gateway/choice/load-view.js'
import { EndpointTable } from '@mimosarock/gateway/membership/endpoint-table.js'

const ENDPOINTS = 8
const NONE = new Set<string>()

function createChoice (isLarge = false) {
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
      startedAt: 1
    }
  })), undefined)
  const loads = new LoadView(() => clock.now())
  const holders = new HolderTable()
  const health = new EndpointHealth(clock)
  const choice = new EndpointChoice({ endpoints, loads, holders, health, availabilityZone: 'z0', loadBoundFactor: () => 2, isFleetLarge: () => isLarge })
  return { clock, endpoints, loads, holders, health, choice }
}

const promptOf = (key: string) => [{ id: 'aa', tokens: 500 }, { id: key, tokens: 9_000 }, { id: 'ff', tokens: 100 }]

/** Places requests that never end and returns what each endpoint got. */
function place (parts: ReturnType<typeof createChoice>, keys: readonly string[]): number[] {
  for (const key of keys) {
    const chosen = parts.choice.choose('s', promptOf(key), NONE)
    if (chosen === undefined) throw new Error('no endpoint')
    parts.loads.begin(chosen.endpoint.id)
    parts.holders.add(key, chosen.endpoint.id)
  }
  return Array.from({ length: ENDPOINTS }, (_, index) => parts.loads.total(`e${index}`))
}

test('one hot key: no endpoint goes over the promised multiple of the mean and three requests', () => {
  const counts = place(createChoice(), Array.from({ length: 400 }, () => 'abc'))
  const mean = counts.reduce((sum, count) => sum + count, 0) / ENDPOINTS
  expect(Math.max(...counts)).toBeLessThanOrEqual(2 * mean + 3)
})

test('a hot key while all endpoints are nearly full: none gets more than its slots while others have free ones', () => {
  const parts = createChoice()
  for (let index = 0; index < ENDPOINTS; index += 1) {
    for (let count = 0; count < 56; count += 1) parts.loads.begin(`e${index}`)
  }
  const counts = place(parts, Array.from({ length: ENDPOINTS * 8 }, () => 'abc'))
  expect(counts).toEqual(Array.from({ length: ENDPOINTS }, () => 64))
})

test('in a large fleet a key that was displaced is copied from its first home, although nobody told that it is there', () => {
  const parts = createChoice(true)
  const home = parts.choice.choose('s', promptOf('abc'), NONE)
  expect([home?.isFirstHome, home?.contextHolder]).toEqual([true, undefined])
  for (let count = 0; count < 64; count += 1) parts.loads.begin(home?.endpoint.id ?? '')
  const displaced = parts.choice.choose('s', promptOf('abc'), NONE)
  expect([displaced?.isFirstHome, displaced?.contextHolder?.id]).toEqual([false, home?.endpoint.id])
})

test('many keys: each stays at one endpoint while none is over the bound', () => {
  const parts = createChoice()
  const keys = Array.from({ length: 200 }, (_, index) => `${index}0a`)
  place(parts, keys)
  const holders = keys.map((key) => parts.holders.holders(key)[0])
  place(parts, keys)
  const moved = keys.filter((key, index) => parts.holders.holders(key)[0] !== holders[index])
  expect(moved.length).toBeLessThanOrEqual(keys.length / 10)
})

test('a crashed endpoint: its keys go elsewhere, and the copy is not asked of it', () => {
  const parts = createChoice()
  parts.holders.add('abc', 'e3')
  parts.health.failed('e3', true)
  const chosen = parts.choice.choose('s', promptOf('abc'), NONE)
  expect([chosen?.endpoint.id === 'e3', chosen?.contextHolder]).toEqual([false, undefined])
})

test('one lost answer: the holder keeps its keys', () => {
  const parts = createChoice()
  parts.holders.add('abc', 'e3')
  parts.health.failed('e3', false)
  expect(parts.choice.choose('s', promptOf('abc'), NONE)?.endpoint.id).toBe('e3')
  parts.health.failed('e3', false)
  const chosen = parts.choice.choose('s', promptOf('abc'), NONE)
  expect([chosen?.endpoint.id === 'e3', chosen?.contextHolder?.id]).toEqual([false, 'e3'])
})

test('a release: the context is copied from the endpoint that drains or has just left', () => {
  const parts = createChoice()
  parts.holders.add('abc', 'e3')
  const entry = parts.endpoints.find('e3')
  parts.endpoints.apply([{ key: 'e3', value: entry === undefined ? undefined : { ...entry, isDraining: true } }], undefined)
  expect(parts.choice.choose('s', promptOf('abc'), NONE)?.contextHolder?.id).toBe('e3')
  parts.endpoints.apply([{ key: 'e3', value: undefined }], undefined)
  expect(parts.choice.choose('s', promptOf('abc'), NONE)?.contextHolder?.id).toBe('e3')
  parts.clock.ms += 1_900
  parts.endpoints.expireLapsed()
  expect(parts.choice.choose('s', promptOf('abc'), NONE)?.contextHolder).toBeUndefined()
})

test('several holders: the one of the own zone comes first', () => {
  const parts = createChoice()
  for (const id of ['e1', 'e4', 'e3']) parts.holders.add('abc', id)
  parts.loads.begin('e4')
  expect(parts.choice.choose('s', promptOf('abc'), NONE)?.endpoint.id).toBe('e4')
})

test('no endpoint is left when all were tried', () => {
  const tried = new Set(Array.from({ length: ENDPOINTS }, (_, index) => `e${index}`))
  expect(createChoice().choice.choose('s', [], tried)).toBeUndefined()
})
