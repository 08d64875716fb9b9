import { beforeEach, expect, test } from 'vitest'
import type { EndpointEntry } from '@mimosarock/gateway/model/endpoint-entry.js'
import type { FleetState } from '@mimosarock/gateway/membership/fleet-state.js'
import { EffectiveLimits } from '@mimosarock/gateway/warm-up/effective-limits.js'
import { createFleetState } from './create-fleet-state.js'

const RULE = { durationMs: 3_000, requestsPerSecond: 20 }
const PERMIT_RATE = 34 / 3.25
const WARM: EndpointEntry = { id: 'e', service: 's', address: 'e:1', availabilityZone: 'z', slots: 4, isDraining: false, startedAt: 1, revision: 5 }
const COLD: EndpointEntry = { ...WARM, revision: 6, warmUpLeftMs: 3_000 }

let clock: { time: number, now: () => number }
let state: FleetState
let events: string[]

beforeEach(() => {
  clock = { time: 1_000_000, now (): number { return this.time } }
  events = []
  const log = { info: (event: string) => { if (/^endpoint-(cold|warm)$/.test(event)) events.push(event) }, warn: () => undefined }
  state = createFleetState('r', clock, {}, log)
  state.permits.setQueues({ queued: () => 100, permitsArrived: () => undefined })
  state.configuration.adopt({ version: 1, routes: [], services: [{ name: 's', maximumConnections: undefined, warmUp: RULE }], limits: undefined, workspaces: undefined }, 'store')
})

function register (entry: EndpointEntry): void {
  state.endpoints.apply([{ key: entry.id, value: entry }], undefined)
}

function getPermits (): void {
  for (let step = 0; step < 10; step += 1) {
    clock.time += 100
    state.permits.refill()
  }
}

/** Limit of the endpoint after each of some times. */
function limitsAfter (...waits: number[]): (number | undefined)[] {
  return waits.map((ms) => {
    clock.time += ms
    state.warmUps.removeExpired()
    return state.warmUps.limitOf(WARM)
  })
}

// Guards against a return to full share in one step, and against a limit that is never lifted.
test('a cold endpoint takes the permit rate, then the limit doubles each half second and is lifted', () => {
  register(COLD)
  expect(limitsAfter(0, 2_999, 1, 500, 500, 500, 500)).toEqual([1, 1, 2, 4, 8, 16].map((multiple) => multiple * PERMIT_RATE).concat([undefined as never]))
  expect([state.warmUps.isEmpty, events]).toEqual([true, ['endpoint-cold', 'endpoint-warm']])
})

test('a limit above what the slots of the endpoint take is lifted, while permits are still issued for routers that are behind', () => {
  state.warmUps.setCapacityOf(() => 20)
  register(COLD)
  expect(limitsAfter(3_000)).toEqual([undefined])
  expect(state.warmUps.permitRateOf(WARM)).toBe(PERMIT_RATE * 2)
})

// Guards against an endpoint that stays cold as long as routers tell each other of the same registration.
test('the same registration, told again, does not extend the cold time, also after a removal', () => {
  register(COLD)
  const { revision } = state.endpoints
  clock.time += 2_000
  for (let time = 0; time < 2; time += 1) state.endpoints.replace([COLD], undefined)
  expect(state.endpoints.revision).toBe(revision)
  state.endpoints.replace([], undefined)
  register(COLD)
  expect(limitsAfter(999, 1)).toEqual([PERMIT_RATE, PERMIT_RATE * 2])
})

// Guards against routers that never hear of a cold time, and against a change for each registration that counts it down.
test('a registration is a change for other routers if its cold time is new, not if it counts down', () => {
  register(WARM)
  const { revision } = state.endpoints
  const revisions = [{ ...COLD }, { ...COLD, revision: 7, warmUpLeftMs: 2_000 }, { ...COLD, revision: 8, warmUpLeftMs: 3_000 }].map((entry) => {
    register(entry)
    clock.time += 1_000
    return state.endpoints.revision - revision
  })
  expect(revisions).toEqual([1, 1, 2])
  register({ ...COLD, revision: 7, warmUpLeftMs: 9_000 })
  expect(state.warmUps.withTimeLeft(COLD).warmUpLeftMs).toBe(2_000)
})

test('the limit is the smaller of what the endpoint states and the permit rate', () => {
  const limits = new EffectiveLimits(state.limits, state.warmUps)
  register(COLD)
  const effective = [2, 100, undefined].map((stated) => {
    state.limits.record(WARM, stated)
    return [limits.limitOf(WARM), limits.permitRateOf(WARM)]
  })
  expect(effective).toEqual([2, PERMIT_RATE, PERMIT_RATE].map((limit) => [limit, limit]))
  state.limits.record(WARM, 2)
  getPermits()
  expect([1, 2, 3]).toContain(state.permits.heldFor(WARM))
})

// Guards against a burst of permits that were issued at a higher rate when the endpoint becomes cold again.
test('permits from before an endpoint became cold are dropped', () => {
  register(WARM)
  state.limits.record(WARM, 100)
  getPermits()
  expect(state.permits.heldFor(WARM)).toBeGreaterThan(10)
  register(COLD)
  expect(state.permits.heldFor(WARM)).toBe(0)
})

test('an endpoint that lost a connection is presumed to be cold for the warm-up time from the next success on', () => {
  register(WARM)
  state.warmUps.connectionLost(WARM)
  expect(limitsAfter(4_000)).toEqual([PERMIT_RATE])
  state.warmUps.succeeded(WARM)
  clock.time += 2_000
  state.warmUps.succeeded(WARM)
  expect(limitsAfter(999, 1)).toEqual([PERMIT_RATE, PERMIT_RATE * 2])
})

// Guards against a change for all routers with each connection that an endpoint refuses, and against news of an earlier incarnation.
test('further lost connections change nothing for a while, those of an earlier incarnation nothing at all', () => {
  register({ ...COLD, startedAt: 2 })
  state.warmUps.connectionLost(WARM)
  expect([state.warmUps.revision, state.warmUps.coldCount]).toEqual([0, 1])
  for (let step = 0; step < 20; step += 1) {
    state.warmUps.connectionLost({ ...WARM, startedAt: 2 })
    clock.time += 100
  }
  expect(state.warmUps.revision).toBe(1)
})

// Guards against a registration from before the loss that is read after it.
test('a presumption ends with a newer registration, but not with one that may be from before', () => {
  register(WARM)
  state.warmUps.connectionLost(WARM)
  clock.time += 1_900
  register({ ...WARM, revision: 6 })
  expect(state.warmUps.isCold(WARM)).toBe(true)
  clock.time += 200
  register({ ...WARM, revision: 7 })
  expect(state.warmUps.isCold(WARM)).toBe(false)
})

// Guards against an endpoint that is limited again, without a log entry and with its permits, because a call succeeds after the end.
test('a success after a presumption has ended does not begin it again', () => {
  register(WARM)
  state.warmUps.connectionLost(WARM)
  clock.time += 8_000
  state.warmUps.succeeded(WARM)
  expect([state.warmUps.isCold(WARM), state.warmUps.revision]).toEqual([false, 1])
})

// Guards against a late registration that ends what other routers know of the next incarnation.
test('a registration ends no presumption of a later incarnation', () => {
  const restarted = { ...WARM, startedAt: 2, revision: 7 }
  register(WARM)
  state.warmUps.learn([{ endpointId: 'e', startedAt: 2, leftMs: 6_000, ageMs: 0 }], clock.time)
  clock.time += 2_100
  register({ ...WARM, revision: 6 })
  register(restarted)
  expect(state.warmUps.isCold(restarted)).toBe(true)
})

test('after an evacuation the endpoints of the zone are presumed to be cold, except those of services without a rule', () => {
  const others = [{ ...WARM, id: 'f', service: 'unruled' }, { ...WARM, id: 'g', availabilityZone: 'y' }]
  for (const entry of [WARM, ...others]) register(entry)
  state.warmUps.presumeZoneCold('z')
  expect([WARM, ...others].map((entry) => state.warmUps.isCold(entry))).toEqual([true, false, false])
  expect([state.warmUps.coldCount, ...limitsAfter(2_999, 1)]).toEqual([1, PERMIT_RATE, PERMIT_RATE * 2])
})

test('without a rule nothing is limited or logged, whatever endpoints state', () => {
  const unruled = { ...COLD, service: 'unruled' }
  register(unruled)
  state.warmUps.connectionLost(unruled)
  expect([state.warmUps.isEmpty, state.permits.isNeeded, state.permits.isLimited(unruled), state.warmUps.coldCount, events]).toEqual([true, false, false, 0, []])
})
