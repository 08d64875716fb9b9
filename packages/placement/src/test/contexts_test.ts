import { expect, test } from 'vitest'
import { CarryCost } from '../carry-cost.js'
import { HeldContexts } from '../held-contexts.js'
import { ManualClock } from './manual-clock.js'

test('contexts are believed until they are old, pushed out or cleared', async () => {
  const clock = new ManualClock()
  const held = new HeldContexts(2, 1_000, clock)
  held.noteStored('a', 10)
  held.noteStored('b', 20)
  held.noteStored('a', 30)
  held.noteStored('c', 40)
  expect(['a', 'b', 'c'].map((key) => held.tokensOf(key))).toEqual([30, undefined, 40])
  await clock.advance(1_001)
  expect(held.tokensOf('a')).toBe(undefined)
  held.clear()
  expect(held.size).toBe(0)
})

test.each([
  { name: 'a short context', tokens: 50, bytesPerToken: 100, worthwhile: false },
  { name: 'a long one', tokens: 2_000, bytesPerToken: 100, worthwhile: true },
  { name: 'a long one with large tokens', tokens: 2_000, bytesPerToken: 10_000, worthwhile: false }
])('carrying $name', ({ tokens, bytesPerToken, worthwhile }) => {
  const cost = new CarryCost({ bytesPerToken, linkBytesPerMs: 100_000, prefillMsPerToken: 0.1, fixedMs: 10 })
  expect(cost.isWorthwhile(tokens)).toBe(worthwhile)
})

test('slow imports end carrying', () => {
  const cost = new CarryCost({ bytesPerToken: 100, linkBytesPerMs: 100_000, prefillMsPerToken: 0.1, fixedMs: 10 })
  for (let count = 0; count < 60; count += 1) cost.noteImport(2_000, 200_000, 2_000)
  expect(cost.isWorthwhile(2_000)).toBe(false)
})
