import * as fc from 'fast-check'
import { expect, test } from 'vitest'
import { FleetRetryBudget } from '@mimosarock/gateway/retries/fleet-retry-budget.js'

const BOUND = { ratio: 0.2, allowance: 52, windowMs: 10_000 }

test('a retry storm: the retries of the fleet stay within the bound in each window, however they are distributed over the routers', () => {
  fc.assert(fc.property(
    fc.integer({ min: 1, max: 12 }),
    fc.array(fc.record({ router: fc.nat(11), requests: fc.nat(20), retries: fc.nat(30), passMs: fc.nat(900) }), { maxLength: 200 }),
    (routers, steps) => {
      const clock = { ms: 1_000_000, now (): number { return this.ms } }
      const budgets = Array.from({ length: routers }, () => new FleetRetryBudget(() => BOUND, clock, () => routers))
      const taken: number[] = []
      const requestTimes: number[] = []
      for (const step of steps) {
        const budget = budgets[step.router % routers] as FleetRetryBudget
        for (let count = 0; count < step.requests; count += 1) {
          budget.countRequest()
          requestTimes.push(clock.ms)
        }
        for (let count = 0; count < step.retries; count += 1) if (budget.take()) taken.push(clock.ms)
        clock.ms += step.passMs
      }
      for (const end of taken) {
        const inWindow = (times: number[]): number => times.filter((time) => time > end - BOUND.windowMs && time <= end).length
        // A router counts whole slices of the window, so some of its requests may precede the window by up to one slice.
        const requests = requestTimes.filter((time) => time > end - 2 * BOUND.windowMs && time <= end).length
        expect(inWindow(taken)).toBeLessThanOrEqual(requests * BOUND.ratio + BOUND.allowance)
      }
    }
  ), { seed: 7, numRuns: 200 })
})

test('a router without traffic may spend only its share of the allowance', () => {
  const clock = { now: () => 1_000_000 }
  const budget = new FleetRetryBudget(() => BOUND, clock, () => 6)
  let taken = 0
  while (budget.take()) taken += 1
  expect(taken).toBe(4)
})

// Guards against BUDGET as in review/14: each reload of the settings gave a router a new budget, as if it had repeated nothing yet.
test('a change of the bound applies at once, and what was spent in the window stays spent', () => {
  const clock = { ms: 1_000_000, now (): number { return this.ms } }
  let bound = BOUND
  const budget = new FleetRetryBudget(() => bound, clock, () => 1)
  const takeAll = (): number => {
    let taken = 0
    while (budget.take()) taken += 1
    return taken
  }
  expect(takeAll()).toBe(26)
  bound = { ...BOUND, windowMs: 5_000 }
  expect(takeAll()).toBe(0)
  clock.ms += 4_400
  bound = { ...BOUND, allowance: 60 }
  expect(takeAll()).toBe(4)
  clock.ms += 20_000
  expect(takeAll()).toBe(30)
})
