import { expect, test } from 'vitest'
import { EndpointMirror } from '@mimosarock/gateway/membership/endpoint-mirror.js'
import type { SyncAnswer } from '@mimosarock/gateway/membership/sync-answer.js'
import type { EndpointEntry } from '@mimosarock/gateway/model/endpoint-entry.js'

const entryOf = (id: string): EndpointEntry => ({ id, service: 's', address: `${id}:1`, availabilityZone: 'z', slots: 4, isDraining: false, startedAt: 1, revision: 1 })
const listOf = (revision: number, ...ids: readonly string[]): SyncAnswer => ({ endpointsRevision: `i:${revision}`, endpoints: ids.map(entryOf) }) as unknown as SyncAnswer
const changesTo = (revision: number, ...ids: readonly string[]): SyncAnswer => {
  return { endpointsRevision: `i:${revision}`, endpointChanges: ids.map((id) => ({ id, entry: entryOf(id) })) } as unknown as SyncAnswer
}

// Guards against LIMIT as on cascade-trailhead-grown, by answers that arrive after another one of the same router: their changes are those of another list.
test('a copy takes changes only if they are changes of it, and no list that is older than itself', () => {
  const mirror = new EndpointMirror()
  expect([mirror.apply(changesTo(2, 'b'), undefined), mirror.ids]).toEqual([false, []])
  expect([mirror.apply(listOf(3, 'a', 'b'), undefined), mirror.ids]).toEqual([true, ['a', 'b']])
  expect([mirror.apply(changesTo(5, 'c'), 'i:2'), mirror.revision, mirror.ids]).toEqual([false, 'i:3', ['a', 'b']])
  expect([mirror.apply(changesTo(5, 'c'), 'i:3'), mirror.revision, mirror.ids]).toEqual([true, 'i:5', ['a', 'b', 'c']])
  expect([mirror.apply(listOf(4, 'a'), undefined), mirror.ids]).toEqual([false, ['a', 'b', 'c']])
  const restarted = { ...listOf(1, 'd'), endpointsRevision: 'other:1' }
  expect([mirror.apply(restarted, undefined), mirror.ids]).toEqual([true, ['d']])
})
