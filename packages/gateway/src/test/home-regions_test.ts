import { expect, test } from 'vitest'
import { SilentEventLog } from '@mimosarock/coordination/silent-event-log.js'
import { EndpointHealth } from '@mimosarock/gateway/choice/endpoint-health.js'
import { EndpointPauses } from '@mimosarock/gateway/choice/endpoint-pauses.js'
import { EndpointSelector } from '@mimosarock/gateway/choice/endpoint-selector.js'
import { HolderTable } from '@mimosarock/gateway/choice/holder-table.js'
import { LoadView } from '@mimosarock/gateway/choice/load-view.js'
import { HomeRegions } from '@mimosarock/gateway/homes/home-regions.js'
import { EndpointTable } from '@mimosarock/gateway/membership/endpoint-table.js'
import { createPermits } from './create-permits.js'
import { seededRandom } from './seeded-random.js'

const ENDPOINTS = 12
const REGIONS = { z0: 'north', z1: 'south', z2: 'west' }
const PROMPT = [{ id: 'aa', tokens: 500 }, { id: 'abc', tokens: 9_000 }, { id: 'ff', tokens: 100 }]
const homeRegions = new HomeRegions({ regions: REGIONS, availabilityZone: 'z0', region: 'north' })

/** Creates a selector of 12 endpoints in the zones z0 to z3, of which z3 has no region. */
function createSelector (isLarge = false) {
  const clock = { now: () => 50_000 }
  const endpoints = new EndpointTable(clock, new SilentEventLog())
  endpoints.replace(Array.from({ length: ENDPOINTS }, (_, index) => {
    return { id: `e${index}`, service: 's', address: `10.0.0.${index}:80`, availabilityZone: `z${index % 4}`, slots: 8, isDraining: false, startedAt: 1, revision: 0 }
  }), undefined)
  const loads = new LoadView(() => clock.now())
  const holders = new HolderTable()
  const selector = new EndpointSelector({ endpoints, loads, holders, health: new EndpointHealth(clock), pauses: new EndpointPauses(clock), permits: createPermits(endpoints, clock), availabilityZone: 'z0', loadBoundFactor: () => 2, routerCount: () => 1, random: seededRandom(7), isFleetLarge: () => isLarge })
  return { endpoints, loads, holders, selector }
}

/** Chooses and loads endpoints until none is left, and returns their zones in order. */
function zonesOf (lists: readonly (readonly string[] | undefined)[], prompt = PROMPT): string[] {
  const { loads, selector } = createSelector()
  const mayRunAt = homeRegions.homesOf(...lists)?.mayRunAt
  const excluded = new Set<string>()
  const zones = []
  for (;;) {
    const chosen = selector.choose('s', prompt, { excluded, mayRunAt })
    if (chosen === undefined) return zones
    excluded.add(chosen.endpoint.id)
    for (let count = 0; count < 9; count += 1) loads.begin(chosen.endpoint.id)
    zones.push(chosen.endpoint.availabilityZone)
  }
}

test('every attempt stays in the home regions, also when endpoints there are full: no retry goes elsewhere', () => {
  for (const prompt of [PROMPT, []]) {
    expect(zonesOf([['south']], prompt)).toEqual(['z1', 'z1', 'z1'])
    expect(new Set(zonesOf([['south', 'west']], prompt))).toEqual(new Set(['z1', 'z2']))
    expect(zonesOf([undefined, undefined], prompt)).toHaveLength(ENDPOINTS)
  }
})

test('if both lists are given, only regions in both are used; none if they have none in common', () => {
  expect(new Set(zonesOf([['north', 'south'], ['south', 'west']]))).toEqual(new Set(['z1']))
  expect(zonesOf([['north'], ['south']])).toEqual([])
})

test('an unknown region has no endpoints, and a zone without a region is in none, not even one named like a property of objects', () => {
  expect(zonesOf([['east']])).toEqual([])
  expect(zonesOf([['undefined', 'constructor', '']])).toEqual([])
  expect(new Set(zonesOf([['north', 'south', 'west']]))).toEqual(new Set(['z0', 'z1', 'z2']))
})

test('the zone of the router has the region of the router if the settings name no other', () => {
  const ofRouter = new HomeRegions({ regions: {}, availabilityZone: 'z0', region: 'north' })
  expect([ofRouter.knows('north'), ofRouter.knows('south'), homeRegions.knows('west')]).toEqual([true, false, true])
})

test('a context outside the home regions is not copied, neither from an announced holder nor from the assumed primary', () => {
  for (const isLarge of [false, true]) {
    const { endpoints, holders, selector } = createSelector(isLarge)
    const primary = selector.choose('s', PROMPT, { excluded: new Set() })?.endpoint
    const away = Object.entries(REGIONS).find(([zone]) => zone !== primary?.availabilityZone)?.[1] as string
    const homes = homeRegions.homesOf([away])
    holders.add('abc', primary?.id ?? '')
    for (const mayRunAt of [homes?.mayRunAt, undefined]) {
      const excluded = new Set(mayRunAt === undefined ? [primary?.id ?? ''] : [])
      const chosen = selector.choose('s', PROMPT, { excluded, mayRunAt })
      expect(chosen?.contextHolder?.id).toBe(mayRunAt === undefined ? primary?.id : undefined)
    }
    const source = [...endpoints.entries].find((entry) => homes?.mayRunAt(entry))
    holders.add('abc', source?.id ?? '')
    const chosen = selector.choose('s', PROMPT, { excluded: new Set([source?.id ?? '']), mayRunAt: homes?.mayRunAt })
    expect(chosen?.contextHolder?.id).toBe(source?.id)
  }
})

test('a key keeps its endpoint among those of the home regions, and the endpoint is announced unless it is the primary of all', () => {
  const { selector } = createSelector(true)
  const primary = selector.choose('s', PROMPT, { excluded: new Set() })
  for (const region of Object.values(REGIONS)) {
    const chosen = Array.from({ length: 5 }, () => selector.choose('s', PROMPT, { excluded: new Set(), mayRunAt: homeRegions.homesOf([region])?.mayRunAt }))
    expect(new Set(chosen.map((each) => each?.endpoint.id)).size).toBe(1)
    expect(chosen[0]?.isChosenAsPrimary).toBe(chosen[0]?.endpoint.id === primary?.endpoint.id)
  }
})
