import fc from 'fast-check'
import { expect, test } from 'vitest'
import { PlacementGoal } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { AdmissionBound } from '../admission-bound.js'

test.each([
  { multiple: 0, goal: PlacementGoal.UNSPECIFIED, guaranteed: 1.25, admission: 1.1, contextless: 1.03 },
  { multiple: 1.25, goal: PlacementGoal.SKEW, guaranteed: 1.25, admission: 1.1, contextless: 1.03 },
  { multiple: 1.25, goal: PlacementGoal.REUSE, guaranteed: 1.25, admission: 1.2, contextless: 1.06 },
  { multiple: 2, goal: PlacementGoal.SKEW, guaranteed: 2, admission: 1.4, contextless: 1.12 }
])('derives the multiples from load multiple $multiple and goal $goal', ({ multiple, goal, guaranteed, admission, contextless }) => {
  const bound = new AdmissionBound(multiple, goal)
  expect(bound.guaranteedMultiple).toBeCloseTo(guaranteed, 10)
  expect(bound.admissionMultiple).toBeCloseTo(admission, 10)
  expect(bound.contextlessMultiple).toBeCloseTo(contextless, 10)
})

test('at least one endpoint of a pool admits while any has free capacity', () => {
  const loads = fc.array(fc.record({ load: fc.integer({ min: 0, max: 32 }), capacity: fc.integer({ min: 1, max: 32 }) }), { minLength: 1 })
  fc.assert(fc.property(loads, fc.constantFrom(PlacementGoal.SKEW, PlacementGoal.REUSE), fc.boolean(), (drawn, goal, hasContext) => {
    const endpoints = drawn.map((each) => ({ load: Math.min(each.load, each.capacity), capacity: each.capacity }))
    const bound = new AdmissionBound(1.25, goal)
    const load = endpoints.reduce((sum, each) => sum + each.load, 0)
    const capacity = endpoints.reduce((sum, each) => sum + each.capacity, 0)
    const admits = endpoints.some((each) => each.load + 1 <= bound.limit(load / capacity, each.capacity, hasContext) + 1e-9)
    expect(admits).toBe(load < capacity)
  }), { seed: 5 })
})

test('a load at the admission limit does not exceed the guaranteed bound', () => {
  fc.assert(fc.property(fc.double({ min: 0, max: 1, noNaN: true }), fc.integer({ min: 1, max: 64 }), (mean, capacity) => {
    const bound = new AdmissionBound(1.25, PlacementGoal.REUSE)
    expect(bound.isExceeded(bound.limit(mean, capacity, true), mean, capacity)).toBe(false)
    expect(bound.isExceeded(1.25 * mean * capacity + 1.01, mean, capacity)).toBe(true)
  }), { seed: 6 })
})
