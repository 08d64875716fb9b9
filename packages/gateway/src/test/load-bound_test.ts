import { expect, test } from 'vitest'
import type { LoadBoundEvent } from './load-bound-event.js'
import { simulateLoadBound } from './load-bound-simulation.js'

/** Requests of an assistant: many short ones, and streams that take seconds, each with contexts of their own. */
const KINDS = [{ perSecond: 390, meanMs: 90, keys: 1_028 }, { perSecond: 130, meanMs: 1_280, keys: 290 }, { perSecond: 160, meanMs: 1_730, keys: 216 }]
/** Stated bound: the part of the requests in five seconds that may reach an endpoint above twice the mean, and three. */
const MAXIMUM_FRACTION = 0.03
const FLEET = { routers: 78, endpoints: 100, newEndpoints: 22, slots: 12, kinds: KINDS, skew: 0.3, batchSize: 3, seconds: 25 }
const LARGE_FLEET_REPORTS = { reportIntervalMs: 500, reportAgeMs: 500 }

// Guards against the incident of the load bound of 2026-12-04: all routers used an endpoint while late reports showed it below the bound and avoided it
// while they showed it above, so its load swung around the bound. Fails if the bound is doubled, too.
test.each([[1], [2]])('78 routers, a fifth of the requests with one key: few of them reach endpoints above the load bound (draws %i)', (seed) => {
  const result = simulateLoadBound({ ...FLEET, ...LARGE_FLEET_REPORTS, hotFraction: 0.2, seed })
  expect(result.fraction).toBeLessThan(MAXIMUM_FRACTION)
  // Most contexts are still used where they are.
  expect(result.heldFraction).toBeGreaterThan(0.95)
})

// Guards against the same in the worst five seconds, as the bound is stated.
test.each([
  ['no hot key, draws 1', 0, LARGE_FLEET_REPORTS, 1],
  ['no hot key, draws 2', 0, LARGE_FLEET_REPORTS, 2],
  ['a hot key, draws 1', 0.2, LARGE_FLEET_REPORTS, 1],
  ['a hot key, draws 2', 0.2, LARGE_FLEET_REPORTS, 2],
  ['a hot key, reports of a small fleet', 0.2, { reportIntervalMs: 250, reportAgeMs: 150 }, 3]
])('78 routers: few requests of any five seconds reach endpoints above the load bound (%s)', (_name, hotFraction, reports, seed) => {
  const result = simulateLoadBound({ ...FLEET, ...reports, hotFraction, seed })
  expect(result.worstFraction).toBeLessThan(MAXIMUM_FRACTION)
})

const EVENTS: readonly LoadBoundEvent[] = [
  { kind: 'burst', fromS: 8, untilS: 14, share: 1.6 },
  { kind: 'routers start', fromS: 10, untilS: 11, share: 0.5 },
  { kind: 'routers are cut off', fromS: 8, untilS: 14, share: 0.3 },
  { kind: 'endpoints crash and return', fromS: 8, untilS: 11, share: 0.25 },
  { kind: 'endpoints leave', fromS: 10, untilS: 11, share: 0.2 },
  { kind: 'a zone is evacuated', fromS: 8, untilS: 16, share: 0 },
  { kind: 'endpoints are ejected', fromS: 8, untilS: 14, share: 0.15 }
]
const FLEETS = [
  { routers: 6, reportIntervalMs: 250, reportAgeMs: 150 },
  { routers: 78, ...LARGE_FLEET_REPORTS },
  { routers: 195, ...LARGE_FLEET_REPORTS }
]

// Guards against endpoints above the load bound after what changes the loads that routers know, or the endpoints that are left. Judged as the users do: five
// seconds in which no endpoint is disturbed, requests of routers that are in touch.
test.each(EVENTS.flatMap((event) => FLEETS.map((fleet) => [event.kind, fleet.routers, event, fleet] as const)))(
  '%s, %i routers: few requests of any five seconds reach endpoints above the load bound', (_kind, _routers, event, fleet) => {
    const result = simulateLoadBound({ ...FLEET, ...fleet, hotFraction: 0, events: [event], seed: 4 })
    expect(result.worstFraction).toBeLessThan(MAXIMUM_FRACTION)
  }
)
