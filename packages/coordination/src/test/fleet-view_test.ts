import fc from 'fast-check'
import { expect, test } from 'vitest'
import { FleetView } from '../membership/fleet-view.js'
import { MemberCondition } from '../membership/member-condition.js'
import type { MemberRecord } from '../membership/member-record.js'
import { MemberTable } from '../membership/member-table.js'
import { RouterState } from '../membership/router-state.js'
import type { RouterIdentity } from '../router-identity.js'
import { SilentEventLog } from '../silent-event-log.js'
import { ManualClock } from './manual-clock.js'

const SUSPICION_MS = 3_000

function identity (id: string, leaving = false): RouterIdentity {
  return { id, availabilityZone: 'a', peerAddress: `${id}:1`, forwardAddress: `${id}:2`, leaving }
}

function record (id: string, incarnation: number, condition: MemberCondition, leaving = false): MemberRecord {
  return { identity: identity(id, leaving), incarnation, condition, revision: 0 }
}

function createView (clock: ManualClock): FleetView {
  const view = new FleetView(identity('self'), clock, new SilentEventLog(), SUSPICION_MS)
  view.merge(record('other', 1, MemberCondition.LIVE), 'peer')
  return view
}

const stateOf = (view: FleetView, id: string): RouterState | undefined =>
  view.routers.find((router) => router.identity.id === id)?.state

test('a suspect is live until its timeout expires, and a suspension of this process restarts the timeout', () => {
  const clock = new ManualClock()
  const view = createView(clock)
  view.suspect('other', 1)
  clock.time = 2_900
  view.applyTimeouts(0)
  expect(view.live).toHaveLength(2)
  clock.time = 60_000
  view.applyTimeouts(57_000)
  expect(stateOf(view, 'other')).toBe(RouterState.SUSPECT)
  clock.time += SUSPICION_MS
  view.applyTimeouts(0)
  expect(stateOf(view, 'other')).toBe(RouterState.REMOVED)
  expect(view.live).toHaveLength(1)
})

const { LIVE, SUSPECT, REMOVED } = MemberCondition

test.each([
  { update: 'a suspicion of this router', records: [record('self', 1, SUSPECT)], states: 'self live at 2' },
  { update: 'a removal of this router', records: [record('self', 7, REMOVED)], states: 'self live at 8' },
  { update: 'an old suspicion of this router', records: [record('self', 3, SUSPECT), record('self', 2, SUSPECT)], states: 'self live at 4' },
  { update: 'a refutation', records: [record('other', 1, SUSPECT), record('other', 2, LIVE)], states: 'other live at 2' },
  { update: 'an old refutation', records: [record('other', 3, SUSPECT), record('other', 2, LIVE)], states: 'other suspect at 3' },
  { update: 'a removal reported by a peer', records: [record('other', 1, REMOVED)], states: 'other suspect at 1' },
  { update: 'two removals reported by a peer', records: [record('other', 1, REMOVED), record('other', 1, REMOVED)], states: 'other suspect at 1' },
  { update: 'an announced departure', records: [record('other', 2, LIVE, true), record('other', 2, REMOVED, true)], states: 'other removed at 2' },
  { update: 'the removal of an unknown router', records: [record('stranger', 4, REMOVED)], states: 'stranger undefined at undefined' }
])('after $update, router, state and incarnation are: $states', ({ records, states }) => {
  const view = createView(new ManualClock())
  for (const item of records) view.merge(item, 'peer')
  const id = records[0]?.identity.id ?? ''
  expect(`${id} ${stateOf(view, id)} at ${view.table.get(id)?.incarnation}`).toBe(states)
})

test('tables that merge the same records in any order are equal and have equal digests', () => {
  const condition = fc.constantFrom(LIVE, SUSPECT)
  const updates = fc.record({ id: fc.constantFrom('a', 'b', 'c'), incarnation: fc.integer({ min: 1, max: 4 }), condition, revision: fc.nat(5) })
  fc.assert(fc.property(fc.array(updates, { maxLength: 20 }), fc.infiniteStream(fc.nat()), (items, draws) => {
    const records = items.map((item) => ({ ...record(item.id, item.incarnation, item.condition), revision: item.revision }))
    const keyed = records.map((item) => ({ item, key: Number(draws.next().value) }))
    const shuffled = keyed.sort((left, right) => left.key - right.key).map(({ item }) => item)
    const tables = [records, shuffled].map((order) => {
      const table = new MemberTable(() => {})
      for (const item of order) table.merge(item, 'peer')
      return table
    })
    const [left, right] = tables.map((table) => [...table.records].map((item) => JSON.stringify(item)).sort())
    expect(left).toEqual(right)
    expect(tables[0]?.digest.members).toBe(tables[1]?.digest.members)
    expect(tables[0]?.digest.revisions).toBe(tables[1]?.digest.revisions)
  }), { seed: 3, numRuns: 500 })
})
