import fc from 'fast-check'
import { expect, test } from 'vitest'
import { SilentEventLog } from '@mimosarock/coordination/silent-event-log.js'
import { LoadView } from '@mimosarock/gateway/choice/load-view.js'
import { decodeLoads } from '@mimosarock/gateway/membership/decode-loads.js'
import { EndpointTable } from '@mimosarock/gateway/membership/endpoint-table.js'
import { LoadSnapshot } from '@mimosarock/gateway/membership/load-snapshot.js'

function createFixture (endpoints: number) {
  const clock = { ms: 1_000, now (): number { return this.ms } }
  const table = new EndpointTable(clock, new SilentEventLog())
  const ids = Array.from({ length: endpoints }, (_, index) => `e${index}`)
  const put = (id: string): void => {
    const value = { id, service: 's', address: `${id}:1`, availabilityZone: 'z', slots: 4, isDraining: false, startedAt: 1, revision: 0 }
    table.apply([{ key: id, value }], undefined)
  }
  for (const id of ids) put(id)
  const loads = new LoadView(() => clock.ms)
  return { clock, put, ids, loads, snapshot: new LoadSnapshot(table, loads, clock) }
}

test('the load for a router excludes what it reported before the snapshot, also after newer reports', () => {
  fc.assert(fc.property(fc.array(fc.record({ router: fc.constantFrom('a', 'b'), load: fc.nat(50) }), { maxLength: 20 }), (reports) => {
    const { ids, loads, snapshot } = createFixture(500)
    loads.begin('e0')
    loads.report('a', { e0: 3 })
    loads.report('b', { e0: 4, e1: 1 })
    expect(decodeLoads(snapshot.without(['a']).load, ids)).toEqual({ e0: 5, e1: 1 })
    // All answers within the lifetime of a snapshot have the same counts.
    for (const { router, load } of reports) loads.report(router, { e0: load })
    expect(decodeLoads(snapshot.without(['a']).load, ids)).toEqual({ e0: 5, e1: 1 })
    expect(decodeLoads(snapshot.without(['b']).load, ids)).toEqual({ e0: 4 })
  }), { seed: 5 })
})

test('a snapshot is replaced after its lifetime and when an endpoint registers', () => {
  const { clock, put, ids, loads, snapshot } = createFixture(500)
  snapshot.without(['a'])
  loads.begin('e2')
  expect(decodeLoads(snapshot.without(['a']).load, ids)).toEqual({})
  clock.ms += 11
  expect(decodeLoads(snapshot.without(['a']).load, ids)).toEqual({ e2: 1 })
  put('new')
  loads.begin('new')
  expect(decodeLoads(snapshot.without(['a']).load, [...ids, 'new'])).toEqual({ e2: 1, new: 1 })
})
