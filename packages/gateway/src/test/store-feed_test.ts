import { setTimeout as sleep } from 'node:timers/promises'
import { expect, test } from 'vitest'
import { SilentEventLog } from '@mimosarock/coordination/silent-event-log.js'
import { StoreFeed } from '@mimosarock/gateway/membership/store-feed.js'
import { MemoryStore } from './memory-store.js'

const clock = { now: () => performance.now() }

/** A feed of the routers' topic, and what it took. */
function createFeed () {
  const { routers } = new MemoryStore()
  const taken: { readonly keys: readonly string[], readonly isWhole: boolean }[] = []
  const state = { isWanted: true }
  const feed = new StoreFeed({
    topic: 'routers',
    reader: routers,
    waitMs: 20,
    gapMs: 5,
    isWanted: () => state.isWanted,
    take: (page) => {
      if (page.isWhole || page.changes.length > 0) taken.push({ keys: page.changes.map((change) => change.key), isWhole: page.isWhole })
    }
  }, clock, new SilentEventLog())
  const ending = new AbortController()
  const running = feed.run(ending.signal)
  const end = async (): Promise<void> => {
    ending.abort()
    await running
  }
  return { routers, taken, state, feed, end }
}

async function until (condition: () => boolean): Promise<void> {
  while (!condition()) await sleep(5)
}

test('the newest values are read first, then changes', async () => {
  const { routers, taken, end } = createFeed()
  await until(() => taken.length === 1)
  routers.put('a', { name: 'a', availabilityZone: 'z', address: 'a' })
  await until(() => taken.length === 2)
  await end()
  expect(taken).toEqual([{ keys: [], isWhole: true }, { keys: ['a'], isWhole: false }])
})

test('a feed whose store is away is not sound, and goes on where it was when the store is back', async () => {
  const { routers, taken, feed, end } = createFeed()
  await until(() => feed.isSound)
  routers.isDown = true
  await until(() => feed.isFailing)
  expect(feed.isSound).toBe(false)
  routers.put('a', { name: 'a', availabilityZone: 'z', address: 'a' })
  routers.isDown = false
  await until(() => feed.isSound)
  await end()
  expect(taken.at(-1)).toEqual({ keys: ['a'], isWhole: false })
})

test('a router that is no longer wanted stops reading, and begins with the newest values when it is again', async () => {
  const { routers, taken, state, feed, end } = createFeed()
  await until(() => feed.isSound)
  state.isWanted = false
  await until(() => !feed.isSound)
  routers.put('a', { name: 'a', availabilityZone: 'z', address: 'a' })
  state.isWanted = true
  await until(() => taken.length === 2)
  await end()
  expect(taken[1]).toEqual({ keys: ['a'], isWhole: true })
})
