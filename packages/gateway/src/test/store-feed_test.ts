import { setTimeout as sleep } from 'node:timers/promises'
import { expect, test } from 'vitest'
import { SilentEventLog } from '@mimosarock/coordination/silent-event-log.js'
import { StoreFeed } from '@mimosarock/gateway/membership/store-feed.js'
import type { TopicReader } from '@mimosarock/gateway/model/topic-reader.js'
import { MemoryStore } from './memory-store.js'
import { waitUntil } from './wait-until.js'

const clock = { now: () => performance.now() }

/** Creates a feed of the routers topic and the list of pages that it delivers. */
function createFeed () {
  const { routers } = new MemoryStore()
  const pages: { readonly keys: readonly string[], readonly isSnapshot: boolean }[] = []
  const state = { shouldRead: true }
  const feed = new StoreFeed({
    topic: 'routers',
    reader: routers,
    waitMs: () => 20,
    pauseMs: 5,
    shouldRead: () => state.shouldRead,
    onPage: (page) => {
      if (page.isSnapshot || page.changes.length > 0) pages.push({ keys: page.changes.map((change) => change.key), isSnapshot: page.isSnapshot })
    }
  }, clock, new SilentEventLog())
  const abortController = new AbortController()
  const running = feed.run(abortController.signal)
  const stop = async (): Promise<void> => {
    abortController.abort()
    await running
  }
  return { routers, pages, state, feed, stop }
}

test('the newest values are read first, then changes', async () => {
  const { routers, pages, stop } = createFeed()
  await waitUntil(() => pages.length === 1)
  routers.put('a', { name: 'a', availabilityZone: 'z', address: 'a' })
  await waitUntil(() => pages.length === 2)
  await stop()
  expect(pages).toEqual([{ keys: [], isSnapshot: true }, { keys: ['a'], isSnapshot: false }])
})

test('a feed is not up to date while the store is unavailable, and resumes at its offset on recovery', async () => {
  const { routers, pages, feed, stop } = createFeed()
  await waitUntil(() => feed.isUpToDate)
  routers.isDown = true
  await waitUntil(() => feed.isFailing)
  expect(feed.isUpToDate).toBe(false)
  routers.put('a', { name: 'a', availabilityZone: 'z', address: 'a' })
  routers.isDown = false
  await waitUntil(() => feed.isUpToDate)
  await stop()
  expect(pages.at(-1)).toEqual({ keys: ['a'], isSnapshot: false })
})

test('a feed stops while it does not have to read, and restarts with the newest values', async () => {
  const { routers, pages, state, feed, stop } = createFeed()
  await waitUntil(() => feed.isUpToDate)
  state.shouldRead = false
  await waitUntil(() => !feed.isUpToDate)
  routers.put('a', { name: 'a', availabilityZone: 'z', address: 'a' })
  state.shouldRead = true
  await waitUntil(() => pages.length === 2)
  await stop()
  expect(pages[1]).toEqual({ keys: ['a'], isSnapshot: true })
})

test('a long read goes on while its answer keeps arriving', async () => {
  const partMs = 100
  const parts = 16
  const reader: TopicReader<string> = {
    read: async (_offset, _waitMs, signal, onProgress) => {
      for (let part = 0; part < parts; part += 1) {
        await sleep(partMs, undefined, { signal })
        onProgress?.(false)
      }
      return { changes: [{ key: 'a', value: 'large' }], nextPosition: { era: 1, offset: 1 }, isSnapshot: true }
    }
  }
  const values: unknown[] = []
  const abortController = new AbortController()
  const feed = new StoreFeed({
    topic: 'large', reader, waitMs: () => 0, pauseMs: 5, shouldRead: () => true, onPage: ({ changes }) => values.push(changes[0]?.value)
  }, clock, new SilentEventLog())
  const running = feed.run(abortController.signal)
  await waitUntil(() => values.length > 0 || feed.isFailing)
  abortController.abort()
  await running
  expect(values).toEqual(['large'])
})

// Guards against routers that leave a reader which is receiving a large configuration, and all read it themselves, because of the age of the one before.
test('a feed tells when an answer has begun to arrive, as of about that time, before it is complete', async () => {
  const begun: number[] = []
  let begunBeforeEnd = 0
  let isComplete = false
  const reader: TopicReader<string> = {
    read: async (_position, _waitMs, _signal, onProgress) => {
      await sleep(200)
      onProgress?.(false)
      await sleep(50)
      onProgress?.(false)
      begunBeforeEnd = begun.length
      return { changes: [{ key: 'k', value: 'large' }], nextPosition: { era: 1, offset: 1 }, isSnapshot: true }
    }
  }
  const abortController = new AbortController()
  const startedAt = clock.now()
  const feed = new StoreFeed({
    topic: 'large', reader, waitMs: () => 500, pauseMs: 1_000, shouldRead: () => true, onPage: () => { isComplete = true }, onAnswerBegun: (asOf) => begun.push(asOf)
  }, clock, new SilentEventLog())
  const running = feed.run(abortController.signal)
  await waitUntil(() => isComplete)
  abortController.abort()
  await running
  expect([begunBeforeEnd, begun.length]).toEqual([1, 1])
  expect(begun[0]).toBeGreaterThan(startedAt)
})

// Guards against a router that was suspended, reads an answer from before and takes itself for current.
test('an answer that is read long after its wait has ended is as of the end of that wait', async () => {
  const waitMs = 50
  const begun: number[] = []
  let isComplete = false
  const reader: TopicReader<string> = {
    read: async (_position, _waitMs, _signal, onProgress) => {
      await sleep(400)
      onProgress?.(false)
      return { changes: [], nextPosition: { era: 1, offset: 1 }, isSnapshot: false }
    }
  }
  const abortController = new AbortController()
  let sentAt = Infinity
  const feed = new StoreFeed({
    topic: 'late',
    reader,
    waitMs: () => {
      sentAt = Math.min(sentAt, clock.now())
      return waitMs
    },
    pauseMs: 1_000,
    shouldRead: () => true,
    onPage: () => { isComplete = true },
    onAnswerBegun: (asOf) => begun.push(asOf)
  }, clock, new SilentEventLog())
  const running = feed.run(abortController.signal)
  await waitUntil(() => isComplete)
  abortController.abort()
  await running
  expect(begun[0]).toBeLessThanOrEqual(sentAt + waitMs)
})
