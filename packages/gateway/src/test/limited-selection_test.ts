import { beforeEach, expect, test } from 'vitest'
import { SilentEventLog } from '@mimosarock/coordination/silent-event-log.js'
import { FleetConcurrencyLimit } from '@mimosarock/gateway/admission/fleet-concurrency-limit.js'
import { EndpointHealth } from '@mimosarock/gateway/choice/endpoint-health.js'
import { EndpointPauses } from '@mimosarock/gateway/choice/endpoint-pauses.js'
import { EndpointSelector } from '@mimosarock/gateway/choice/endpoint-selector.js'
import { HolderTable } from '@mimosarock/gateway/choice/holder-table.js'
import { LoadView } from '@mimosarock/gateway/choice/load-view.js'
import { EndpointLimits } from '@mimosarock/gateway/limits/endpoint-limits.js'
import type { FleetPermits } from '@mimosarock/gateway/limits/fleet-permits.js'
import { EndpointTable } from '@mimosarock/gateway/membership/endpoint-table.js'
import type { EndpointEntry } from '@mimosarock/gateway/model/endpoint-entry.js'
import { createPermits } from './create-permits.js'

const SERVICE = 's'
const SLOTS = 16
const ENDPOINTS = 4
/** Endpoint with a limit that holds the context of the tests' prompts. */
const LIMITED = 'e0'
const LIMIT = 10
const NONE = { excluded: new Set<string>() }
const PROMPT = [{ id: 'abc', tokens: 9_000 }, { id: 'ff', tokens: 100 }]
const SHORT = { ...NONE, isShort: true }
const URGENT = { ...NONE, needsWarm: true }

let clock: { ms: number, now: () => number }
let endpoints: EndpointTable
let holders: HolderTable
let limits: EndpointLimits
let loads: LoadView
let permits: FleetPermits
let selector: EndpointSelector
let wanted: number
let isLimitedCold: boolean

beforeEach(() => {
  clock = { ms: 50_000, now (): number { return this.ms } }
  const log = new SilentEventLog()
  endpoints = new EndpointTable(clock, log)
  endpoints.apply(Array.from({ length: ENDPOINTS }, (_, index) => ({
    key: `e${index}`,
    value: { id: `e${index}`, service: SERVICE, address: `e${index}:1`, availabilityZone: 'z', slots: SLOTS, isDraining: false, startedAt: 1, revision: 0 }
  })), undefined)
  limits = new EndpointLimits(clock, log)
  limits.record(endpoints.find(LIMITED) as EndpointEntry, LIMIT)
  loads = new LoadView(() => clock.now())
  permits = createPermits(endpoints, clock, limits)
  wanted = 1
  isLimitedCold = false
  permits.setQueues({ queued: () => wanted, permitsArrived: () => { wanted = 0 } })
  holders = new HolderTable()
  holders.add('abc', LIMITED)
  selector = new EndpointSelector({
    endpoints,
    loads,
    holders,
    permits,
    warmUps: { isCold: ({ id }) => isLimitedCold && id === LIMITED, limitOf: ({ id }) => isLimitedCold && id === LIMITED ? LIMIT : undefined },
    health: new EndpointHealth(clock),
    pauses: new EndpointPauses(clock),
    availabilityZone: 'z',
    routerCount: () => 1,
    random: () => 0.5,
    loadBoundFactor: () => 2,
    isFleetLarge: () => false
  })
})

/** Gets a permit for the endpoint with the limit. */
function getPermit (): void {
  permits.refill()
  clock.ms += 1_000 / LIMIT
  permits.refill()
}

function setLoad (endpointId: string, requests: number): void {
  for (let count = 0; count < requests; count += 1) loads.begin(endpointId)
}

test('an endpoint with a limit gets a request only for a permit, and only one for each', () => {
  expect(selector.choose(SERVICE, PROMPT, NONE)?.endpoint.id).not.toBe(LIMITED)
  getPermit()
  const chosen = selector.choose(SERVICE, PROMPT, NONE)
  expect(chosen?.endpoint.id).toBe(LIMITED)
  permits.take(chosen?.endpoint as EndpointEntry)
  expect(selector.choose(SERVICE, PROMPT, NONE)?.endpoint.id).not.toBe(LIMITED)
})

test('a permit that is not used in time is no permit any more', () => {
  getPermit()
  clock.ms += 1_000
  expect(selector.choose(SERVICE, PROMPT, NONE)?.endpoint.id).not.toBe(LIMITED)
})

test('without a permit the context is copied from the endpoint that holds it', () => {
  expect(selector.choose(SERVICE, PROMPT, NONE)?.contextHolder?.id).toBe(LIMITED)
})

// Pattern: a limit counts requests, so short ones would use it up, while long ones fill the other endpoints.
test('a short request leaves the permit to others while another endpoint has capacity', () => {
  getPermit()
  expect(selector.choose(SERVICE, PROMPT, SHORT)?.endpoint.id).not.toBe(LIMITED)
  for (const id of ['e1', 'e2', 'e3']) setLoad(id, SLOTS)
  expect(selector.choose(SERVICE, PROMPT, SHORT)?.endpoint.id).toBe(LIMITED)
})

// Pattern: copies to endpoints with a limit serve few requests, but once the others are busy their permits would expire unused.
test('a context is copied to an endpoint with a limit only if the first one without a limit is busy', () => {
  limits.record(endpoints.find(LIMITED) as EndpointEntry, 0)
  limits.record(endpoints.find('e1') as EndpointEntry, LIMIT)
  getPermit()
  expect(['e2', 'e3']).toContain(selector.choose(SERVICE, PROMPT, NONE)?.endpoint.id)
  for (const id of ['e2', 'e3']) setLoad(id, SLOTS / 2)
  expect(selector.choose(SERVICE, PROMPT, NONE)?.endpoint.id).toBe('e1')
})

test('the bound of the others is a multiple of their own mean, not of one with the endpoints that take few requests', () => {
  for (const id of ['e1', 'e2', 'e3']) setLoad(id, 10)
  expect(selector.choose(SERVICE, PROMPT, NONE)?.bound).toBe(10 * 2 * 0.8 + 2)
})

// Pattern: endpoints with a limit serve few requests at a time; counted as capacity they let the others be overloaded.
test('endpoints with a limit are no capacity, but what a permit allows may be in flight besides', () => {
  const limit = new FleetConcurrencyLimit({
    loads,
    random: () => 0,
    routerCount: () => 1,
    availableEndpoints: () => endpoints.ready(SERVICE),
    permits,
    now: () => clock.now(),
    serviceMs: () => 2_000
  })
  const queuedPerEndpoint = 1
  const capacity = 3 * (SLOTS + queuedPerEndpoint)
  expect(limit.limit(SERVICE)).toBe(capacity)
  getPermit()
  expect(limit.limit(SERVICE)).toBe(capacity + 1)
  permits.take(endpoints.find(LIMITED) as EndpointEntry)
  setLoad(LIMITED, 1)
  expect(limit.limit(SERVICE)).toBe(capacity + 1)
})

test('without a permit no request goes to a cold endpoint, with one those go there that need no warm endpoint', () => {
  isLimitedCold = true
  expect(selector.choose(SERVICE, [], NONE)?.endpoint.id).not.toBe(LIMITED)
  getPermit()
  expect([NONE, SHORT, URGENT].map((constraints) => selector.choose(SERVICE, [], constraints)?.endpoint.id === LIMITED)).toEqual([true, true, false])
})

// Guards against urgent requests that are refused although only cold endpoints have capacity.
test('requests that need a warm endpoint go to a cold one only if no warm one has capacity', () => {
  isLimitedCold = true
  getPermit()
  for (const id of ['e1', 'e2']) setLoad(id, SLOTS)
  expect(selector.choose(SERVICE, [], URGENT)?.endpoint.id).toBe('e3')
  setLoad('e3', SLOTS)
  expect(selector.choose(SERVICE, [], URGENT)?.endpoint.id).toBe(LIMITED)
})

test('a request stays with the warm endpoint that holds its context while that has capacity, then the context is copied', () => {
  isLimitedCold = true
  getPermit()
  holders.add('abc', 'e1')
  holders.removeEndpoint(LIMITED)
  expect(selector.choose(SERVICE, PROMPT, NONE)?.endpoint.id).toBe('e1')
  setLoad('e1', SLOTS)
  expect(selector.choose(SERVICE, PROMPT, NONE)).toMatchObject({ endpoint: { id: LIMITED }, contextHolder: { id: 'e1' } })
})
