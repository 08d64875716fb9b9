import { expect, test } from 'vitest'
import { SilentEventLog } from '@mimosarock/coordination/silent-event-log.js'
import { EndpointTable } from '@mimosarock/gateway/membership/endpoint-table.js'
import { OutageDetector } from '@mimosarock/gateway/membership/outage-detector.js'
import type { EndpointEntry } from '@mimosarock/gateway/model/endpoint-entry.js'

const NO_OUTAGE = undefined
const OTHER_ROUTER = { source: 'r1', asOf: undefined }

function createEntry (id: string, changes: Partial<EndpointEntry> = {}): EndpointEntry {
  return {
    id, service: 's', address: `10.0.0.1:${id}`, availabilityZone: 'z', slots: 4, isDraining: false, startedAt: 1, revision: 0, ...changes
  }
}

function createTable (): { clock: { ms: number, now (): number }, table: EndpointTable, outageDetector: OutageDetector } {
  const clock = { ms: 100_000, now (): number { return this.ms } }
  const table = new EndpointTable(clock, new SilentEventLog())
  table.apply(['1', '2'].map((id) => ({ key: id, value: createEntry(id) })), NO_OUTAGE)
  return { clock, table, outageDetector: new OutageDetector(clock, () => true) }
}

const readyIds = (table: EndpointTable): string[] => table.ready('s').map((entry) => entry.id)

test('a draining endpoint receives no new requests and can still be found', () => {
  const { table } = createTable()
  table.apply([{ key: '1', value: createEntry('1', { isDraining: true }) }], NO_OUTAGE)
  expect(readyIds(table)).toEqual(['2'])
  expect(table.find('1')?.isDraining).toBe(true)
})

test('an entry that is removed while the store is available is deleted immediately', () => {
  const { table } = createTable()
  table.apply([{ key: '1', value: undefined }], NO_OUTAGE)
  expect(readyIds(table)).toEqual(['2'])
})

test('entries that lapsed during an outage are retained until the grace period for registration ends', () => {
  const { clock, table, outageDetector } = createTable()
  outageDetector.recordFailure()
  outageDetector.recordRead(clock.now() - 5_000)
  table.apply([{ key: '1', value: undefined }, { key: '2', value: undefined }], outageDetector.gracePeriodEnd)
  expect(readyIds(table)).toEqual(['1', '2'])
  clock.ms += 1_000
  table.apply([{ key: '2', value: createEntry('2') }], outageDetector.gracePeriodEnd)
  clock.ms += 1_200
  expect(readyIds(table)).toEqual(['2'])
})

test('an endpoint that leaves after the recovery of the store is deleted at the end of the grace period', () => {
  const { clock, table, outageDetector } = createTable()
  outageDetector.recordFailure()
  outageDetector.recordRead(clock.now() - 5_000)
  clock.ms += 300
  table.apply([{ key: '1', value: undefined }], outageDetector.gracePeriodEnd)
  clock.ms += 1_900
  expect(readyIds(table)).toEqual(['2'])
})

test('removals are applied immediately if only this router was refused by the store', () => {
  const { clock, outageDetector } = createTable()
  outageDetector.recordFailure()
  // Updates from other routers had verified the endpoints 600 ms ago.
  outageDetector.recordRead(clock.now() - 600)
  expect(outageDetector.gracePeriodEnd).toBeUndefined()
})

// Guards against the incident tor-mimosa-grown of 2026-08-27: a router that had lost touch with the others kept endpoints that had left.
test('removals are applied immediately if the store never failed while this router knew nothing', () => {
  const { clock, outageDetector } = createTable()
  outageDetector.recordFailure()
  clock.ms += 10_000
  outageDetector.recordRead(clock.now() - 5_000)
  expect(outageDetector.gracePeriodEnd).toBeUndefined()
})

test('a draining endpoint whose entry lapses is deleted immediately', () => {
  const { clock, table, outageDetector } = createTable()
  table.apply([{ key: '1', value: createEntry('1', { isDraining: true }) }], NO_OUTAGE)
  outageDetector.recordFailure()
  outageDetector.recordRead(clock.now() - 5_000)
  table.apply([{ key: '1', value: undefined }], outageDetector.gracePeriodEnd)
  expect(table.find('1')).toBeUndefined()
})

test('only a new incarnation under the same id is reported as a restart', () => {
  const { table } = createTable()
  const restarted: string[] = []
  table.listen({ endpointRestarted: (entry) => restarted.push(entry.id), endpointRemoved: () => undefined, endpointExpired: () => undefined })
  table.apply([{ key: '3', value: createEntry('3') }, { key: '2', value: createEntry('2') }], NO_OUTAGE)
  table.apply([{ key: '1', value: createEntry('1', { startedAt: 2 }) }], NO_OUTAGE)
  expect(restarted).toEqual(['1'])
})

test('contexts of a removed endpoint can be copied until its address may be reassigned', () => {
  const { clock, table } = createTable()
  const expired: string[] = []
  table.listen({ endpointRestarted: () => undefined, endpointRemoved: () => undefined, endpointExpired: (entry) => expired.push(entry.id) })
  table.apply([{ key: '1', value: undefined }], NO_OUTAGE)
  expect([table.find('1'), table.findContextSource('1')?.id]).toEqual([undefined, '1'])
  clock.ms += 1_900
  table.removeExpired()
  expect([table.findContextSource('1'), expired]).toEqual([undefined, ['1']])
})

function restart (table: EndpointTable, copy: readonly EndpointEntry[], clock: { readonly ms: number }): void {
  table.storeEraChanged()
  table.replace(copy, clock.ms + 2_100)
}

test('an endpoint that an older copy of the store still lists is not brought back until it registers again', () => {
  const { table, clock } = createTable()
  table.apply([{ key: '1', value: createEntry('1', { revision: 5 }) }], NO_OUTAGE)
  table.apply([{ key: '1', value: undefined }], NO_OUTAGE)
  restart(table, [createEntry('1', { revision: 4 }), createEntry('2')], clock)
  expect(readyIds(table)).toEqual(['2'])
  table.apply([{ key: '1', value: createEntry('1', { revision: 6 }) }], NO_OUTAGE)
  expect(readyIds(table).sort()).toEqual(['1', '2'])
})

test('an endpoint that an older copy of the store lists is used again once the store would have removed it', () => {
  const { table, clock } = createTable()
  table.apply([{ key: '1', value: undefined }], NO_OUTAGE)
  restart(table, [createEntry('1'), createEntry('2')], clock)
  clock.ms += 4_000
  expect(readyIds(table)).toEqual(['2'])
  clock.ms += 600
  expect(readyIds(table).sort()).toEqual(['1', '2'])
})

test('an endpoint that the store removes from the older copy does not come back', () => {
  const { table, clock } = createTable()
  table.apply([{ key: '1', value: undefined }], NO_OUTAGE)
  restart(table, [createEntry('1'), createEntry('2')], clock)
  table.apply([{ key: '1', value: undefined }], NO_OUTAGE)
  clock.ms += 5_000
  expect(readyIds(table)).toEqual(['2'])
})

test('a draining endpoint stays draining if an older copy of the store shows it as ready', () => {
  const { table, clock } = createTable()
  table.apply([{ key: '1', value: createEntry('1', { isDraining: true, revision: 5 }) }], NO_OUTAGE)
  restart(table, [createEntry('1', { revision: 4 }), createEntry('2')], clock)
  expect([readyIds(table), table.find('1')?.isDraining]).toEqual([['2'], true])
})

test('an endpoint that an older copy of the store lacks is kept until it had time to register again', () => {
  const { table, clock } = createTable()
  restart(table, [createEntry('2')], clock)
  expect(readyIds(table)).toEqual(['1', '2'])
  clock.ms += 2_200
  expect(readyIds(table)).toEqual(['2'])
})

test('a new incarnation under the id of a removed endpoint is used at once', () => {
  const { table, clock } = createTable()
  table.apply([{ key: '1', value: undefined }], NO_OUTAGE)
  restart(table, [createEntry('1', { startedAt: 2 }), createEntry('2')], clock)
  expect(readyIds(table).sort()).toEqual(['1', '2'])
})

// Guards against DRAIN as in review/4: the store carried out a report late, after the endpoint had left, and all routers used the endpoint again.
test('a registration that the store carries out after the endpoint was removed brings it back only if it is newer than the last one', () => {
  const { table } = createTable()
  table.apply([{ key: '1', value: createEntry('1', { revision: 5, isDraining: true }) }, { key: '1', value: undefined }], NO_OUTAGE)
  table.apply([{ key: '1', value: createEntry('1', { revision: 4 }) }], NO_OUTAGE)
  expect(readyIds(table)).toEqual(['2'])
  table.replace([createEntry('1', { revision: 5 }), createEntry('2')], NO_OUTAGE)
  expect(readyIds(table)).toEqual(['2'])
  table.apply([{ key: '1', value: createEntry('1', { revision: 6 }) }], NO_OUTAGE)
  expect(readyIds(table).sort()).toEqual(['1', '2'])
})

// Guards against the same by a report of an earlier incarnation under the same id, whether the later one is there or was removed.
test('a registration of an earlier incarnation neither replaces a later one nor brings it back', () => {
  const { table } = createTable()
  table.apply([{ key: '1', value: createEntry('1', { startedAt: 2, revision: 1, isDraining: true }) }], NO_OUTAGE)
  table.apply([{ key: '1', value: createEntry('1', { startedAt: 1, revision: 9 }) }], NO_OUTAGE)
  expect(table.find('1')).toMatchObject({ startedAt: 2, isDraining: true })
  table.apply([{ key: '1', value: undefined }, { key: '1', value: createEntry('1', { startedAt: 1, revision: 9 }) }], NO_OUTAGE)
  expect(readyIds(table)).toEqual(['2'])
})

// Guards against the same at a router that has missed the last registrations, or the removal itself.
test('a removal that another router knows counts for registrations that this one has not seen, and removes an endpoint that it still has', () => {
  const { table } = createTable()
  table.apply([{ key: '1', value: createEntry('1', { revision: 3 }) }, { key: '1', value: undefined }], NO_OUTAGE)
  table.recordRemoval({ id: '1', startedAt: 1, revision: 8 }, OTHER_ROUTER)
  table.apply([{ key: '1', value: createEntry('1', { revision: 7 }) }], NO_OUTAGE)
  expect(readyIds(table)).toEqual(['2'])
  table.apply([{ key: '2', value: createEntry('2', { revision: 2 }) }], NO_OUTAGE)
  table.recordRemoval({ id: '2', startedAt: 1, revision: 1 }, OTHER_ROUTER)
  expect(readyIds(table)).toEqual(['2'])
  table.recordRemoval({ id: '2', startedAt: 1, revision: 2 }, OTHER_ROUTER)
  expect(readyIds(table)).toEqual([])
})

// Guards against the same after a long time with the id of the endpoint in use again, and against a table that grows for ever.
test('a removal is forgotten after a while', () => {
  const { table, clock } = createTable()
  table.apply([{ key: '1', value: createEntry('1', { revision: 5 }) }, { key: '1', value: undefined }], NO_OUTAGE)
  expect(table.removals).toEqual([{ id: '1', startedAt: 1, revision: 5 }])
  clock.ms += 31_000
  table.apply([{ key: '1', value: createEntry('1', { revision: 5 }) }], NO_OUTAGE)
  expect(readyIds(table).sort()).toEqual(['1', '2'])
  expect(table.removals).toEqual([])
})

// Guards against a single entry of another writer, with a start in the future, that would keep the endpoint out as long as it registers.
test('an earlier incarnation that goes on registering is used again when the later one has been silent for long', () => {
  const { table, clock } = createTable()
  table.apply([{ key: '1', value: createEntry('1', { startedAt: 9_000, address: 'elsewhere:1' }) }], NO_OUTAGE)
  for (let revision = 1; revision <= 10; revision += 1) {
    clock.ms += 1_000
    table.apply([{ key: '1', value: createEntry('1', { revision }) }], NO_OUTAGE)
    expect(table.find('1')?.startedAt).toBe(revision < 10 ? 9_000 : 1)
  }
})

// Guards against LIMIT after an outage: a router that had heard of the new registrations of lapsed endpoints from others read their earlier removals from
// the store, took these for later, and turned the registrations down.
test('a removal that the store lists before a registration which another router has told neither removes the endpoint nor turns that registration down', () => {
  const { table } = createTable()
  table.apply([{ key: '1', value: createEntry('1', { revision: 1 }) }], NO_OUTAGE)
  const renewed = createEntry('1', { revision: 3 })
  table.adopt([renewed, createEntry('2')], OTHER_ROUTER)
  table.apply([{ key: '1', value: undefined }], NO_OUTAGE)
  expect(readyIds(table).sort()).toEqual(['1', '2'])
  table.apply([{ key: '1', value: createEntry('1', { revision: 1 }) }, { key: '1', value: renewed }], NO_OUTAGE)
  expect(table.find('1')?.revision).toBe(3)
  table.apply([{ key: '1', value: undefined }, { key: '1', value: renewed }], NO_OUTAGE)
  expect(readyIds(table)).toEqual(['2'])
})
