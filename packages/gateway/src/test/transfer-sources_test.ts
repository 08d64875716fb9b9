import fc from 'fast-check'
import { expect, test } from 'vitest'
import { TransferSources } from '@mimosarock/gateway/transfers/transfer-sources.js'
import type { RouterEntry } from '@mimosarock/gateway/model/router-entry.js'

const MAXIMUM_TRANSFERS = 2
const ASSIGNMENT_LIFETIME_MS = 1_500
const createEntry = (name: string): RouterEntry => ({ name, availabilityZone: 'z', address: name })
const hasChange = (version: number): boolean => version === 2
const NEED = { ownVersion: 2, slowSources: [], hasChange }

function createSources (): { clock: { ms: number, now (): number }, sources: TransferSources } {
  const clock = { ms: 100_000, now (): number { return this.ms } }
  return { clock, sources: new TransferSources(createEntry('self'), clock) }
}

test('800 routers have a change after seven generations of transfers, of which no router sends more than two at a time', () => {
  const { sources } = createSources()
  const lacking = new Set(Array.from({ length: 800 }, (_, index) => `r${index}`))
  let generations = 0
  while (lacking.size > 0) {
    generations += 1
    const transfers = new Map<string, string>()
    for (const name of lacking) {
      sources.record(createEntry(name), 1)
      const source = sources.assign(name, NEED)
      if (source !== undefined) transfers.set(name, source.name)
    }
    const counts = new Map<string, number>()
    for (const source of transfers.values()) counts.set(source, (counts.get(source) ?? 0) + 1)
    expect(Math.max(...counts.values())).toBeLessThanOrEqual(MAXIMUM_TRANSFERS)
    for (const name of transfers.keys()) {
      sources.record(createEntry(name), 2)
      lacking.delete(name)
    }
  }
  // The number of routers that have the change triples with each generation.
  expect(generations).toBe(Math.ceil(Math.log(801) / Math.log(3)))
})

test('a router without a free source gets one when an assigned router has stopped reporting', () => {
  const { clock, sources } = createSources()
  for (const name of ['a', 'b', 'c']) sources.record(createEntry(name), 1)
  expect(['a', 'b', 'c'].map((name) => sources.assign(name, NEED)?.name)).toEqual(['self', 'self', undefined])
  clock.ms += ASSIGNMENT_LIFETIME_MS
  sources.record(createEntry('c'), 1)
  expect(sources.assign('c', NEED)?.name).toBe('self')
})

test('a router that asks again during its transfer keeps its source', () => {
  const { sources } = createSources()
  sources.record(createEntry('a'), 1)
  expect(sources.assign('a', NEED)?.name).toBe('self')
  sources.record(createEntry('a'), 1)
  expect(sources.assign('a', NEED)?.name).toBe('self')
  sources.record(createEntry('b'), 1)
  expect(sources.assign('b', NEED)?.name).toBe('self')
})

test('for any sequence of requests, a source has the change and is not the router that asks', () => {
  const step = fc.record({ name: fc.constantFrom('a', 'b', 'c', 'd', 'e'), version: fc.integer({ min: 1, max: 2 }), elapsedMs: fc.integer({ min: 0, max: 900 }) })
  fc.assert(fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
    const { clock, sources } = createSources()
    const versions = new Map([['self', 2]])
    for (const { name, version, elapsedMs } of steps) {
      clock.ms += elapsedMs
      sources.record(createEntry(name), version)
      versions.set(name, version)
      if (hasChange(version)) continue
      const source = sources.assign(name, NEED)
      if (source === undefined) continue
      expect(source.name).not.toBe(name)
      expect(hasChange(versions.get(source.name) as number)).toBe(true)
    }
  }), { seed: 19, numRuns: 300 })
})
