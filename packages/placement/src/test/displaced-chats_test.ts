import { expect, test } from 'vitest'
import { DisplacedChats } from '../displaced-chats.js'
import { ManualClock } from './manual-clock.js'

test('the chats seen least recently are forgotten first', () => {
  const chats = new DisplacedChats(2, 1_000, new ManualClock())
  chats.note('a', 'engine-1')
  chats.note('b', 'engine-1')
  chats.note('a', 'engine-2')
  chats.note('c', 'engine-3')
  expect(['a', 'b', 'c'].map((key) => chats.endpointOf(key))).toEqual(['engine-2', undefined, 'engine-3'])
})

test('forgets a chat in time, by name and by endpoint', async () => {
  const clock = new ManualClock()
  const chats = new DisplacedChats(8, 1_000, clock)
  chats.note('a', 'engine-1')
  chats.note('b', 'engine-2')
  chats.note('c', 'engine-2')
  chats.forget('b')
  chats.forgetEndpoint('engine-1')
  expect(['a', 'b', 'c'].map((key) => chats.endpointOf(key))).toEqual([undefined, undefined, 'engine-2'])
  await clock.advance(1_001)
  expect(chats.endpointOf('c')).toBe(undefined)
  expect(chats.size).toBe(0)
})
