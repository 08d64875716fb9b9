import { expect, test } from 'vitest'
import type { LoadDigest } from '../load-digest.js'
import { PoolLoad } from '../pool-load.js'
import { ManualClock } from './manual-clock.js'

const digest = (changes: Partial<LoadDigest>): LoadDigest =>
  ({ routerId: 'r2', pool: 'chat', load: 40, capacity: 40, time: 1, ...changes })

test.each([
  { name: 'no digest', digests: [], mean: 0.25 },
  { name: 'a digest of another owner', digests: [digest({})], mean: 0.875 },
  { name: 'digests of two other owners', digests: [digest({}), digest({ routerId: 'r3', load: 0, capacity: 48 })], mean: 0.4375 },
  { name: 'a newer digest of the same owner', digests: [digest({}), digest({ load: 0, time: 2 })], mean: 2 / 48 },
  { name: 'an out-of-order digest', digests: [digest({ time: 2 }), digest({ load: 0, time: 1 })], mean: 0.875 },
  { name: 'a digest of another pool', digests: [digest({ pool: 'other' })], mean: 0.25 },
  { name: 'the router\'s own digest received back', digests: [digest({ routerId: 'r1' })], mean: 0.25 },
  { name: 'a digest whose load is not a number', digests: [digest({ load: NaN })], mean: 0.25 }
])('mean load with $name', ({ digests, mean }) => {
  const load = new PoolLoad({ routerId: 'r1', pool: 'chat', clock: new ManualClock(), staleMs: 3_000 })
  load.addOwned('engine-1', { load: 2, capacity: 8 })
  for (const each of digests) load.receive(each)
  expect(load.mean()).toBeCloseTo(mean, 10)
})

test('a digest that is not renewed becomes stale', async () => {
  const clock = new ManualClock()
  const load = new PoolLoad({ routerId: 'r1', pool: 'chat', clock, staleMs: 3_000 })
  load.addOwned('engine-1', { load: 2, capacity: 8 })
  load.receive(digest({}))
  await clock.advance(3_000)
  expect(load.mean()).toBeCloseTo(0.875, 10)
  await clock.advance(1)
  expect(load.mean()).toBe(0.25)
})

test('after a change of owner, neither the removed endpoint nor the discarded digest counts', () => {
  const load = new PoolLoad({ routerId: 'r1', pool: 'chat', clock: new ManualClock(), staleMs: 3_000 })
  load.addOwned('engine-1', { load: 2, capacity: 8 })
  load.receive(digest({}))
  load.removeOwned('engine-1')
  load.retain((routerId) => routerId !== 'r2')
  expect(load.mean()).toBe(0)
  expect(load.digest()).toMatchObject({ load: 0, capacity: 0 })
})
