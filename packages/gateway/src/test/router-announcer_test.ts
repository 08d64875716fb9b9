import { expect, test, vi } from 'vitest'
import { SilentEventLog } from '@mimosarock/coordination/silent-event-log.js'
import { RouterAnnouncer } from '@mimosarock/gateway/membership/router-announcer.js'
import type { RouterEntry } from '@mimosarock/gateway/model/router-entry.js'
import { RouterTable } from '@mimosarock/gateway/membership/router-table.js'
import { MemoryStore } from './memory-store.js'

const ERA = 1

/** Starts the announcers of three routers that know each other; the first one is the reader. */
function startAnnouncers () {
  const store = new MemoryStore()
  store.era.observe(ERA)
  const clock = { now: () => performance.now() }
  const entries = ['a', 'b', 'c'].map((name) => ({ name, availabilityZone: 'z', address: `${name}:1` }))
  const abortController = new AbortController()
  const running = entries.map(async (self) => {
    const routers = new RouterTable(self, clock)
    for (const entry of entries) routers.recordContact(entry, 0)
    await new RouterAnnouncer(store, routers, () => self.name === 'a', new SilentEventLog()).run(abortController.signal)
  })
  const stop = async (): Promise<void> => {
    abortController.abort()
    await Promise.all(running)
  }
  return { store, stop }
}

test('the reader announces all routers in one call', async () => {
  const { store, stop } = startAnnouncers()
  const announce = vi.spyOn(store, 'announce')
  await vi.waitUntil(() => store.routers.changes.length > 0, { timeout: 10_000 })
  await stop()
  expect(store.routers.changes.map(({ key }) => key).sort()).toEqual(['a', 'b', 'c'])
  expect(announce).toHaveBeenCalledTimes(1)
})

test('the reader announces again, in one call, the routers that an older copy of the store lacks', async () => {
  const { store, stop } = startAnnouncers()
  await vi.waitUntil(() => store.routers.changes.length === 3, { timeout: 10_000 })
  store.routers.restore(1)
  const announce = vi.spyOn(store, 'announce')
  store.era.observe(ERA + 1)
  await vi.waitUntil(() => store.routers.changes.length === 3, { timeout: 10_000 })
  await stop()
  expect(store.routers.changes.map(({ key }) => key).sort()).toEqual(['a', 'b', 'c'])
  expect(announce).toHaveBeenCalledTimes(1)
})

test('a router that reaches no other one announces itself and finds the announced ones', async () => {
  const store = new MemoryStore()
  store.routers.put('other', { name: 'other', availabilityZone: 'z', address: 'other:1' })
  const routers = new RouterTable({ name: 'self', availabilityZone: 'z', address: 'self:1' }, { now: () => performance.now() })
  const abortController = new AbortController()
  const running = new RouterAnnouncer(store, routers, () => true, new SilentEventLog()).run(abortController.signal)
  await vi.waitUntil(() => routers.size === 2, { timeout: 10_000 })
  await vi.waitUntil(() => store.routers.changes.some(({ key }) => key === 'self'), { timeout: 10_000 })
  abortController.abort()
  await running
})

test('two groups of routers that do not know each other, whose readers announce at the same time, find each other', async () => {
  const store = new MemoryStore()
  const abortController = new AbortController()
  const groups = [['a', 'b'], ['c', 'd']].map((names) => {
    const [self, ...others] = names.map((name) => ({ name, availabilityZone: 'z', address: `${name}:1` }))
    const routers = new RouterTable(self as RouterEntry, { now: () => performance.now() })
    for (const entry of others) routers.recordContact(entry, 0)
    return { routers, running: new RouterAnnouncer(store, routers, () => true, new SilentEventLog()).run(abortController.signal) }
  })
  await vi.waitUntil(() => groups.some(({ routers }) => routers.size === 4), { timeout: 10_000 })
  abortController.abort()
  await Promise.all(groups.map(({ running }) => running))
})
