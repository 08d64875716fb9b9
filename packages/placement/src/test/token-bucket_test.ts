import fc from 'fast-check'
import { expect, test } from 'vitest'
import { RetryBudget } from '../retry-budget.js'
import { TokenBucket } from '../token-bucket.js'
import { ManualClock } from './manual-clock.js'

test('never grants more tokens than the burst plus the rate times the elapsed time', async () => {
  const steps = fc.array(fc.record({ ms: fc.integer({ min: 0, max: 500 }), count: fc.integer({ min: 1, max: 8 }) }))
  await fc.assert(fc.asyncProperty(steps, async (drawn) => {
    const clock = new ManualClock()
    const bucket = new TokenBucket(10, 5, clock)
    let taken = 0
    for (const step of drawn) {
      await clock.advance(step.ms)
      taken += bucket.takeUpTo(step.count)
      expect(taken).toBeLessThanOrEqual(5 + clock.now() / 100 + 1e-9)
    }
  }), { seed: 9 })
})

test('returns the time until tokens are available', async () => {
  const clock = new ManualClock()
  const bucket = new TokenBucket(10, 5, clock)
  expect(bucket.tryTake(5)).toBe(true)
  expect(bucket.tryTake(1)).toBe(false)
  expect(bucket.waitMs(2)).toBe(200)
  await clock.advance(200)
  expect(bucket.tryTake(2)).toBe(true)
  bucket.setRate(0, 5)
  expect(bucket.waitMs(1)).toBe(Infinity)
  bucket.setRate(10, 1)
  await clock.advance(1_000)
  expect(bucket.available).toBe(1)
})

test('retries are limited to a ratio of the successful requests', () => {
  const budget = new RetryBudget(0.25, 2)
  const taken = (): number => [budget.tryTake(), budget.tryTake(), budget.tryTake()].filter(Boolean).length
  expect(taken()).toBe(2)
  for (let success = 0; success < 6; success += 1) budget.recordSuccess()
  expect(taken()).toBe(1)
  for (let success = 0; success < 100; success += 1) budget.recordSuccess()
  expect(budget.available).toBe(2)
})
