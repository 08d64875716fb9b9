import fc from 'fast-check'
import { expect, test } from 'vitest'
import { FairQueue } from '../fair-queue.js'
import type { FairQueueEntry } from '../fair-queue-entry.js'

const entry = (workspace: string, changes: Partial<FairQueueEntry> = {}): FairQueueEntry =>
  ({ workspace, priority: 0, weight: 1, load: 1, queuedAt: 0, ...changes })
const entriesOf = (count: number, workspace: string, changes: Partial<FairQueueEntry> = {}): FairQueueEntry[] =>
  Array.from({ length: count }, (_, index) => entry(workspace, { queuedAt: index, ...changes }))
const drain = (queue: FairQueue<FairQueueEntry>, count: number): string =>
  Array.from({ length: count }, () => queue.take()?.workspace ?? '-').join('')

test.each([
  { name: 'two small workspaces are not delayed by a surge that was queued first', entries: [...entriesOf(6, 'a'), ...entriesOf(2, 'b'), ...entriesOf(1, 'c')], order: 'abcabaaaa' },
  { name: 'workspaces share the service by weights 3 and 1', entries: [...entriesOf(9, 'a', { weight: 3 }), ...entriesOf(9, 'b')], order: 'abaaabaaabaabbbbbb' },
  { name: 'higher priority is served first', entries: [...entriesOf(2, 'a'), ...entriesOf(2, 'b', { priority: 5 })], order: 'bbaa' },
  { name: 'one turn in eight goes to the longest-waiting entry during a surge at a higher priority', entries: [entry('a', { queuedAt: -1 }), ...entriesOf(9, 'b', { priority: 5 })], order: 'bbbbbbbabb' },
  { name: 'larger requests are served less often', entries: [...entriesOf(3, 'a', { load: 2 }), ...entriesOf(6, 'b')], order: 'abbabbabb' }
])('$name', ({ entries, order }) => {
  const queue = new FairQueue<FairQueueEntry>()
  for (const each of entries) queue.push(each)
  expect(drain(queue, entries.length)).toBe(order)
})

test.each([
  { name: 'a surge counts in full for its own workspace', entries: entriesOf(6, 'a'), arrival: entry('a'), before: 6 },
  { name: 'a surge of another workspace counts with one entry', entries: entriesOf(6, 'a'), arrival: entry('b'), before: 1 },
  { name: 'a surge of another workspace counts by weight', entries: entriesOf(6, 'a', { weight: 3 }), arrival: entry('b'), before: 3 },
  { name: 'a lower priority does not count', entries: entriesOf(6, 'a'), arrival: entry('b', { priority: 1 }), before: 0 },
  { name: 'a higher priority counts in full', entries: entriesOf(6, 'a', { priority: 1 }), arrival: entry('b'), before: 6 }
])('load ahead of a new entry: $name', ({ entries, arrival, before }) => {
  const queue = new FairQueue<FairQueueEntry>()
  for (const each of entries) queue.push(each)
  expect(queue.loadAhead(arrival)).toBe(before)
})

test('a workspace that queues again after its flow ran empty gains no additional turns', () => {
  const queue = new FairQueue<FairQueueEntry>()
  for (const each of entriesOf(12, 'a', { weight: 3 })) queue.push(each)
  let served = ''
  for (let turn = 0; turn < 8; turn += 1) {
    if (queue.sizeOf('b') === 0) queue.push(entry('b', { queuedAt: 100 }))
    served += drain(queue, 1)
  }
  expect(served).toBe('abaaabaa')
})

test.each([
  { name: 'the surging workspace loses an entry', entries: [...entriesOf(3, 'a'), ...entriesOf(1, 'b')], arrival: entry('c'), victim: 'a' },
  { name: 'a new entry of the surging workspace evicts none', entries: [...entriesOf(3, 'a'), ...entriesOf(1, 'b')], arrival: entry('a'), victim: undefined },
  { name: 'a lower priority loses an entry', entries: [...entriesOf(1, 'a'), ...entriesOf(3, 'b', { priority: 3 })], arrival: entry('c', { priority: 3 }), victim: 'a' },
  { name: 'a higher priority loses none', entries: entriesOf(4, 'a', { priority: 3 }), arrival: entry('c'), victim: undefined },
  { name: 'the workspace with the most entries per weight loses one', entries: [...entriesOf(3, 'a', { weight: 3 }), ...entriesOf(2, 'b')], arrival: entry('c', { weight: 3 }), victim: 'b' }
])('eviction from a full queue: $name', ({ entries, arrival, victim }) => {
  const queue = new FairQueue<FairQueueEntry>()
  for (const each of entries) queue.push(each)
  expect(queue.evictionCandidate(arrival)?.workspace).toBe(victim)
})

test('every entry is taken or removed exactly once', () => {
  const drawn = fc.array(fc.record({
    workspace: fc.constantFrom('a', 'b', 'c'),
    priority: fc.integer({ min: 0, max: 2 }),
    weight: fc.integer({ min: 0, max: 3 }),
    remove: fc.boolean()
  }))
  fc.assert(fc.property(drawn, (records) => {
    const queue = new FairQueue<FairQueueEntry>()
    const entries = records.map((record, index) => ({ each: entry(record.workspace, { priority: record.priority, weight: record.weight, queuedAt: index }), remove: record.remove }))
    for (const { each } of entries) queue.push(each)
    for (const { each, remove } of entries) if (remove) expect(queue.remove(each)).toBe(true)
    const left = entries.filter(({ remove }) => !remove).map(({ each }) => each)
    const taken = left.map(() => queue.take())
    expect(new Set(taken)).toEqual(new Set(left))
    expect(queue.size).toBe(0)
    expect(queue.take()).toBe(undefined)
  }), { seed: 7 })
})
