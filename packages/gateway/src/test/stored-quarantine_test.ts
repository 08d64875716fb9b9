import { expect, test, vi } from 'vitest'
import { SilentEventLog } from '@mimosarock/coordination/silent-event-log.js'
import { HolderTable } from '@mimosarock/gateway/choice/holder-table.js'
import { StatePersistence } from '@mimosarock/gateway/membership/state-persistence.js'
import { StoredQuarantine } from '@mimosarock/gateway/membership/stored-quarantine.js'
import type { CrashNote } from '@mimosarock/gateway/quarantine/crash-note.js'
import { RequestQuarantine } from '@mimosarock/gateway/quarantine/request-quarantine.js'
import { MemoryStore } from './memory-store.js'

const WITH_PART = { prompt: ['a', 'd', 'x'].map((id) => ({ id, tokens: 1 })), fingerprint: 'f' }
const REPEATED = { prompt: [], fingerprint: 'r' }
const WAIT = { timeout: 10_000 }
const CRASH_RETENTION_MS = 300_000
const clock = { now: () => performance.now() }
const log = new SilentEventLog()

function createQuarantine (): RequestQuarantine {
  return new RequestQuarantine({ clock, log, rank: () => 0 })
}

function crashesOf (suspect: string, endpoints: readonly string[]): CrashNote[] {
  return endpoints.map((id, index) => ({ crashId: `${id}@1`, parts: [{ id: suspect, depth: 1 }], ageMs: 3_000 - index * 1_000 }))
}

/** Keeps a quarantine in a store, as a router that reads the store for itself does. Returns what ends it. */
function keep (quarantine: RequestQuarantine, store: MemoryStore): () => Promise<void> {
  const abortController = new AbortController()
  const stored = new StoredQuarantine({ store, quarantine, isReader: () => true }, clock, log)
  const persistence = new StatePersistence({ store, holders: new HolderTable(), otherParts: [stored.savedPart], isSaving: () => true }, log)
  const tasks = Promise.all([stored.run(abortController.signal), persistence.run(abortController.signal)])
  return async () => {
    abortController.abort()
    await tasks
  }
}

test('quarantines outlast a restart of all routers', async () => {
  const store = new MemoryStore()
  store.era.observe(1)
  const [before, after] = [createQuarantine(), createQuarantine()]
  const endFirst = keep(before, store)
  before.apply({ crashes: [...crashesOf('d', ['e1', 'e2', 'e3']), ...crashesOf('request:r', ['e4', 'e5', 'e6'])], clearances: [] }, false)
  await vi.waitUntil(() => store.crashes.changes.length > 0, WAIT)
  await endFirst()
  const endSecond = keep(after, store)
  await vi.waitUntil(() => after.partCount === 1 && after.requestCount === 1, WAIT)
  await endSecond()
  expect([before, after].map((quarantine) => quarantine.findBlock(WITH_PART)?.suspectId)).toEqual(['d', 'd'])
  expect([before, after].map((quarantine) => quarantine.findBlock(REPEATED)?.suspectId)).toEqual(['request:r', 'request:r'])
})

test('routers that are cut off from each other count the crashes of a request together by the store', async () => {
  const store = new MemoryStore()
  store.era.observe(1)
  const [first, second] = [createQuarantine(), createQuarantine()]
  const ends = [keep(first, store), keep(second, store)]
  first.apply({ crashes: crashesOf('request:r', ['e1', 'e2']), clearances: [] }, false)
  second.apply({ crashes: crashesOf('request:r', ['e3']), clearances: [] }, false)
  await vi.waitUntil(() => first.requestCount === 1 && second.requestCount === 1, WAIT)
  for (const end of ends) await end()
  expect([first, second].map((quarantine) => quarantine.findBlock(REPEATED)?.suspectId)).toEqual(['request:r', 'request:r'])
})

test('a record that another writer has replaced is written again with the crashes of both, once', async () => {
  const store = new MemoryStore()
  store.era.observe(1)
  const [first, second] = [createQuarantine(), createQuarantine()]
  const ends = [keep(first, store), keep(second, store)]
  first.apply({ crashes: crashesOf('request:r', ['e1', 'e2', 'e3']), clearances: [] }, false)
  second.apply({ crashes: crashesOf('d', ['e4', 'e5', 'e6']), clearances: [] }, false)
  await vi.waitUntil(() => [first, second].every(({ partCount, requestCount }) => partCount === 1 && requestCount === 1), WAIT)
  await vi.waitUntil(() => store.crashes.changes.at(-1)?.value?.length === 6, WAIT)
  for (const end of ends) await end()
  expect(store.crashes.changes.length).toBeLessThanOrEqual(6)
})

test('a request that an answer has cleared leaves the store', async () => {
  const store = new MemoryStore()
  store.era.observe(1)
  const quarantine = createQuarantine()
  const end = keep(quarantine, store)
  quarantine.apply({ crashes: crashesOf('request:r', ['e1', 'e2']), clearances: [] }, false)
  await vi.waitUntil(() => store.crashes.changes.at(-1)?.value?.length === 2, WAIT)
  quarantine.recordCompletion(REPEATED)
  await vi.waitUntil(() => store.crashes.changes.at(-1)?.value?.length === 0, WAIT)
  await end()
})

// Guards against a router that reads what it wrote itself, late, and takes the crashes in it for new ones.
test('a request that crashed endpoints long ago leaves the store, also if its record is read after that', async () => {
  const store = new MemoryStore()
  store.era.observe(1)
  const skewed = { skewMs: 0, now (): number { return performance.now() + this.skewMs } }
  const quarantine = new RequestQuarantine({ clock: skewed, log, rank: () => 0 })
  const read = store.crashes.read.bind(store.crashes)
  let letRead: () => void = () => undefined
  const mayRead = new Promise<void>((resolve) => { letRead = resolve })
  store.crashes.read = async (...options) => {
    await mayRead
    return await read(...options)
  }
  const end = keep(quarantine, store)
  quarantine.apply({ crashes: crashesOf('request:r', ['e1', 'e2']), clearances: [] }, false)
  await vi.waitUntil(() => store.crashes.changes.at(-1)?.value?.length === 2, WAIT)
  skewed.skewMs = CRASH_RETENTION_MS
  quarantine.apply({ crashes: crashesOf('request:other', ['e3']), clearances: [] }, false)
  letRead()
  await vi.waitUntil(() => store.crashes.changes.at(-1)?.value?.length === 0, WAIT)
  await end()
})
