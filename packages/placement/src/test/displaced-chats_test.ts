import { expect, test } from 'vitest'
import { DisplacedChats } from '../displaced-chats.js'
import { ManualClock } from './manual-clock.js'

test('the least recently recorded chats are evicted first', () => {
  const chats = new DisplacedChats(2, 1_000, new ManualClock())
  chats.record('a', 'engine-1')
  chats.record('b', 'engine-1')
  chats.record('a', 'engine-2')
  chats.record('c', 'engine-3')
  expect(['a', 'b', 'c'].map((key) => chats.endpointOf(key))).toEqual(['engine-2', undefined, 'engine-3'])
})

test('removes chats by expiry, by key and by endpoint', async () => {
  const clock = new ManualClock()
  const chats = new DisplacedChats(8, 1_000, clock)
  chats.record('a', 'engine-1')
  chats.record('b', 'engine-2')
  chats.record('c', 'engine-2')
  chats.delete('b')
  chats.deleteEndpoint('engine-1')
  expect(['a', 'b', 'c'].map((key) => chats.endpointOf(key))).toEqual([undefined, undefined, 'engine-2'])
  await clock.advance(1_001)
  expect(chats.endpointOf('c')).toBe(undefined)
  expect(chats.size).toBe(0)
})
