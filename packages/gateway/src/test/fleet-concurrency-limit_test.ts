import { expect, test } from 'vitest'
import { FleetConcurrencyLimit } from '@mimosarock/gateway/admission/fleet-concurrency-limit.js'
import { LoadView } from '@mimosarock/gateway/choice/load-view.js'
import type { EndpointEntry } from '@mimosarock/gateway/model/endpoint-entry.js'

const endpoint = (id: string, slots: number): EndpointEntry => {
  return { id, service: 's', address: `${id}:1`, availabilityZone: 'z', slots, isDraining: false, startedAt: 1, revision: 0 }
}

/** Creates routers that share a service, each with its own load view. */
function createFleet (routers: number, endpoints: readonly EndpointEntry[], random: () => number) {
  return Array.from({ length: routers }, () => {
    const loads = new LoadView(() => 0)
    return { loads, concurrencyLimit: new FleetConcurrencyLimit({ loads, random, routerCount: () => routers, availableEndpoints: () => endpoints, now: () => 0, serviceMs: () => undefined }) }
  })
}

type Fleet = ReturnType<typeof createFleet>

const inFlight = (fleet: Fleet): number => fleet.reduce((sum, { loads }) => sum + loads.localLoad('e'), 0)

/** Reports to each router the load of all other routers. */
function exchange (fleet: Fleet): void {
  const all = inFlight(fleet)
  for (const { loads } of fleet) loads.report('others', { e: all - loads.localLoad('e') })
}

/** Starts requests at a router until they are all started or its limit is reached. */
function arrive ({ loads, concurrencyLimit }: Fleet[number], requests: number): void {
  for (let count = 0; count < requests && loads.localLoad('e') + 1 <= concurrencyLimit.limit('s'); count += 1) loads.begin('e')
}

test('a surge at all routers between two load reports: the fleet exceeds the slots by at most a quarter', () => {
  const fleet = createFleet(8, [endpoint('e', 64)], () => 0.5)
  for (const router of fleet) for (let count = 0; count < 6; count += 1) router.loads.begin('e')
  for (let round = 0; round < 10; round += 1) {
    exchange(fleet)
    for (const router of fleet) arrive(router, 100)
  }
  expect(inFlight(fleet)).toBeLessThanOrEqual(80)
  expect(inFlight(fleet)).toBeGreaterThanOrEqual(64)
})

test('a surge at one router while the service is idle: the router may use half of the service at once and most of it soon after', () => {
  const fleet = createFleet(8, [endpoint('e', 64)], () => 0.5)
  const [first] = fleet as [Fleet[number]]
  exchange(fleet)
  arrive(first, 100)
  expect(inFlight(fleet)).toBeGreaterThanOrEqual(32)
  for (let round = 0; round < 10; round += 1) {
    exchange(fleet)
    arrive(first, 100)
  }
  expect(inFlight(fleet)).toBeGreaterThanOrEqual(58)
})

test('a router with few requests keeps its share of a service that other routers fill', () => {
  const fleet = createFleet(8, [endpoint('e', 64)], () => 0.5)
  for (let count = 0; count < 90; count += 1) fleet[0]?.loads.begin('e')
  exchange(fleet)
  arrive(fleet[1] as Fleet[number], 100)
  expect(fleet[1]?.loads.localLoad('e')).toBeGreaterThanOrEqual(8)
  // The limit of the router that exceeds the capacity falls.
  expect(fleet[0]?.concurrencyLimit.limit('s')).toBeLessThan(90)
})

test('an idle service with fewer slots than routers: a single request does not wait', () => {
  const fleet = createFleet(200, [endpoint('e', 6)], () => 0)
  exchange(fleet)
  arrive(fleet[7] as Fleet[number], 1)
  expect(inFlight(fleet)).toBe(1)
})

test('a service without endpoints has no limit: the selection of an endpoint reports the error', () => {
  const [router] = createFleet(2, [], () => 0)
  expect(router?.concurrencyLimit.limit('s')).toBe(Infinity)
})

// Guards against requests that must stay in a full region and queue there: they must not take the capacity of the other regions.
test('one of three regions is far beyond its slots: the room in the others stays, unless no request has home regions or all regions are full', () => {
  const limitWith = (hasHomes: boolean, others: readonly number[]): number => {
    const endpoints = ['north', 'south', 'west'].map((zone) => ({ ...endpoint(zone, 8), availabilityZone: zone }))
    const loads = new LoadView(() => 0)
    loads.report('others', Object.fromEntries(endpoints.map(({ id }, index) => [id, others[index] ?? 0])))
    return new FleetConcurrencyLimit({
      loads, random: () => 0, routerCount: () => 2, availableEndpoints: () => endpoints, hasHomes: () => hasHomes, regionOf: ({ availabilityZone }) => availabilityZone, now: () => 0, serviceMs: () => undefined
    }).limit('s')
  }
  // An equal share of the 27 requests that the service takes is 13, and the two free regions take 18.
  expect([limitWith(true, [100, 0, 0]), limitWith(false, [100, 0, 0])]).toEqual([18, 13])
  expect(limitWith(true, [100, 100, 100])).toBe(limitWith(false, [100, 100, 100]))
})
