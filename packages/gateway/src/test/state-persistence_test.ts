import { setTimeout as sleep } from 'node:timers/promises'
import { expect, test, vi } from 'vitest'
import { SilentEventLog } from '@mimosarock/coordination/silent-event-log.js'
import { HolderTable } from '@mimosarock/gateway/choice/holder-table.js'
import { StatePersistence } from '@mimosarock/gateway/membership/state-persistence.js'
import { MemoryStore } from './memory-store.js'

test('a router that starts loads the saved holders and does not announce them to other routers', async () => {
  const store = new MemoryStore()
  const before = new HolderTable()
  before.add('a', 'e1')
  before.add('a', 'e2')
  await store.saveHolders(before.recent(10))
  const after = new HolderTable()
  const abortController = new AbortController()
  const running = new StatePersistence({ store, holders: after, otherParts: [], isSaving: () => false }, new SilentEventLog()).run(abortController.signal)
  while (after.holders('a').length < 2) await sleep(5)
  abortController.abort()
  await running
  expect(after.holders('a')).toEqual(['e2', 'e1'])
  // Loaded holders are not sent to other routers.
  expect(after.cursor).toBe(0)
})

test('a load goes on while its answer keeps arriving', async () => {
  const partMs = 100
  const parts = 18
  const store = new MemoryStore()
  store.loadHolders = async (signal, onProgress) => {
    for (let part = 0; part < parts; part += 1) {
      await sleep(partMs, undefined, { signal })
      onProgress?.()
    }
    return [{ key: 'a', endpointId: 'e1' }]
  }
  const holders = new HolderTable()
  const abortController = new AbortController()
  const events: string[] = []
  const record = (event: string): void => { events.push(event) }
  const running = new StatePersistence({ store, holders, otherParts: [], isSaving: () => false }, { info: record, warn: record }).run(abortController.signal)
  while (events.length === 0) await sleep(5)
  abortController.abort()
  await running
  expect(events).toEqual(['holders-loaded'])
  expect(holders.holders('a')).toEqual(['e1'])
})

test('the most recently used keys are saved', () => {
  const holders = new HolderTable()
  for (const key of ['a', 'b', 'c']) holders.add(key, 'e1')
  holders.holders('a')
  expect(holders.recent(2).map((note) => note.key)).toEqual(['c', 'a'])
})

test('holders are saved again, though they have not changed, after the store came back from an older copy', async () => {
  const store = new MemoryStore()
  store.era.observe(1)
  const holders = new HolderTable()
  const abortController = new AbortController()
  const running = new StatePersistence({ store, holders, otherParts: [], isSaving: () => true }, new SilentEventLog()).run(abortController.signal)
  holders.add('a', 'e1')
  await vi.waitUntil(() => store.holders.length === 1, { timeout: 10_000 })
  store.holders = []
  store.era.observe(2)
  await vi.waitUntil(() => store.holders.length === 1, { timeout: 10_000 })
  abortController.abort()
  await running
})

test('a router that could not load the saved state does not replace it with nothing', async () => {
  const store = new MemoryStore()
  store.era.observe(1)
  store.holders = [{ key: 'a', endpointId: 'e1' }]
  store.loadHolders = async () => { throw new Error('down') }
  let rounds = 0
  const abortController = new AbortController()
  const isSaving = (): boolean => {
    rounds += 1
    return true
  }
  const running = new StatePersistence({ store, holders: new HolderTable(), otherParts: [], isSaving }, new SilentEventLog()).run(abortController.signal)
  await vi.waitUntil(() => rounds >= 4, { timeout: 10_000 })
  abortController.abort()
  await running
  expect(store.holders).toEqual([{ key: 'a', endpointId: 'e1' }])
})
