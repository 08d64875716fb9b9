import fc from 'fast-check'
import { expect, test } from 'vitest'
import { fairLevel } from '@mimosarock/gateway/fairness/fair-level.js'

test('demands below the level are met, and the others get the rest in equal parts', () => {
  expect([fairLevel([1, 2, 30, 60], 43), fairLevel([1, 2], 4), fairLevel([], 1), fairLevel([5, 5], 0)]).toEqual([20, Infinity, Infinity, 0])
})

// Guards against a division that promises more than there is, or leaves a part unused while a demand is not met.
test('what all get together is the capacity, or all that is asked for', () => {
  fc.assert(fc.property(fc.array(fc.integer({ min: 0, max: 100 }), { minLength: 1, maxLength: 20 }), fc.integer({ min: 0, max: 1_000 }), (demands, capacity) => {
    const level = fairLevel(demands, capacity)
    const total = demands.reduce((sum, demand) => sum + Math.min(demand, level), 0)
    expect(total).toBeCloseTo(Math.min(capacity, demands.reduce((sum, demand) => sum + demand, 0)), 6)
  }), { seed: 5 })
})
