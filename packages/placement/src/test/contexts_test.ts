import { expect, test } from 'vitest'
import { ContextTransferCost } from '../context-transfer-cost.js'
import { HeldContexts } from '../held-contexts.js'
import { ManualClock } from './manual-clock.js'

test('contexts are removed by expiry, eviction and clearing', async () => {
  const clock = new ManualClock()
  const contexts = new HeldContexts(2, 1_000, clock)
  contexts.recordContext('a', 10)
  contexts.recordContext('b', 20)
  contexts.recordContext('a', 30)
  contexts.recordContext('c', 40)
  expect(['a', 'b', 'c'].map((key) => contexts.tokensOf(key))).toEqual([30, undefined, 40])
  await clock.advance(1_001)
  expect(contexts.tokensOf('a')).toBe(undefined)
  contexts.clear()
  expect(contexts.size).toBe(0)
})

test.each([
  { name: 'a short context', tokens: 50, bytesPerToken: 100, worthwhile: false },
  { name: 'a long context', tokens: 2_000, bytesPerToken: 100, worthwhile: true },
  { name: 'a long context with a large cache per token', tokens: 2_000, bytesPerToken: 10_000, worthwhile: false }
])('decides whether to transfer $name', ({ tokens, bytesPerToken, worthwhile }) => {
  const cost = new ContextTransferCost({ bytesPerToken, linkBytesPerMs: 100_000, prefillMsPerToken: 0.1, fixedMs: 10 })
  expect(cost.isWorthwhile(tokens)).toBe(worthwhile)
})

test('slow imports make transfers no longer worthwhile', () => {
  const cost = new ContextTransferCost({ bytesPerToken: 100, linkBytesPerMs: 100_000, prefillMsPerToken: 0.1, fixedMs: 10 })
  for (let count = 0; count < 60; count += 1) cost.recordImport(2_000, 200_000, 2_000)
  expect(cost.isWorthwhile(2_000)).toBe(false)
})
