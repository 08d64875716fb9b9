import { expect, test } from 'vitest'
import { SilentEventLog } from '@mimosarock/coordination/silent-event-log.js'
import { ConfigurationTransfer } from '@mimosarock/gateway/transfers/configuration-transfer.js'
import type { FleetState } from '@mimosarock/gateway/membership/fleet-state.js'
import type { SyncAnswer } from '@mimosarock/gateway/membership/sync-answer.js'
import { SyncClient } from '@mimosarock/gateway/membership/sync-client.js'
import { SyncServer } from '@mimosarock/gateway/membership/sync-server.js'
import { createPeerCalls } from './create-peer-calls.js'
import { createFleetState } from './create-fleet-state.js'

const LIMIT = 40
const ENDPOINT = { id: 'e', service: 's', address: 'e:1', availabilityZone: 'z', slots: 4, isDraining: false, startedAt: 1, revision: 0 }
const FOLLOWING = { reportsLoad: true, followers: [] }

/** Changes an answer on its way. */
type Change = (answer: SyncAnswer) => SyncAnswer

/** Creates a reader and a router that follows it, both of which know an endpoint and that the follower has requests for it. */
function createPair (change: Change = (answer) => answer) {
  const clock = { time: 1_000_000, now (): number { return this.time } }
  const [reader, follower] = ['reader', 'follower'].map((name) => createFleetState(name, clock)) as [FleetState, FleetState]
  for (const state of [reader, follower]) state.endpoints.apply([{ key: 'e', value: ENDPOINT }], undefined)
  const server = new SyncServer(reader, 'i', () => clock.now(), () => 0)
  const transfer = new ConfigurationTransfer(follower.configuration, async () => await Promise.reject(new Error('unused')), clock, new SilentEventLog())
  const call = async (_: string, request: unknown): Promise<SyncAnswer> => {
    const answer = server.answer(JSON.parse(JSON.stringify(request)))
    return change(JSON.parse(JSON.stringify(answer)) as SyncAnswer)
  }
  const client = new SyncClient(follower, clock, createPeerCalls(call), transfer, () => undefined)
  follower.permits.setSource({ isFollowing: () => true, askSoon: () => undefined })
  const sync = async (): Promise<void> => {
    for (let number = 0; number < 10; number += 1) follower.permits.countRequest('s')
    client.applyFollowed('reader', await client.sync('reader', FOLLOWING), false)
    clock.time += 250
  }
  return { clock, reader, follower, sync }
}

test('a limit that a router reads reaches the router that it follows, which issues permits for it', async () => {
  const { reader, follower, sync } = createPair()
  await sync()
  follower.limits.record(ENDPOINT, LIMIT)
  expect(follower.permits.allows(ENDPOINT)).toBe(false)
  for (let number = 0; number < 4; number += 1) await sync()
  expect(reader.limits.limitOf(ENDPOINT)).toBe(LIMIT)
  expect(follower.permits.allows(ENDPOINT)).toBe(true)
})

test('a limit and its end reach the routers that follow the one that knows it', async () => {
  const { clock, reader, follower, sync } = createPair()
  reader.limits.record(ENDPOINT, LIMIT)
  await sync()
  expect(follower.limits.limitOf(ENDPOINT)).toBe(LIMIT)
  clock.time += 100
  reader.limits.record(ENDPOINT, undefined)
  await sync()
  expect(follower.limits.limitOf(ENDPOINT)).toBeUndefined()
})

// Guards against routers that get no permits while the one that they follow still runs an earlier version.
test('a router that follows one of an earlier version issues its equal part of the permits itself', async () => {
  const { follower, sync } = createPair(({ limits, limitsRevision, permits, ...answer }) => answer)
  follower.limits.record(ENDPOINT, LIMIT)
  for (let number = 0; number < 4; number += 1) {
    follower.limits.record(ENDPOINT, LIMIT)
    await sync()
    follower.permits.refill()
  }
  expect(follower.permits.allows(ENDPOINT)).toBe(true)
})

/** Creates a pair of routers that know a warm-up rule, and lets the reader verify its endpoints. */
function createRuledPair () {
  const pair = createPair()
  const services = [{ name: 's', maximumConnections: undefined, warmUp: { durationMs: 3_000, requestsPerSecond: 20 } }]
  for (const { configuration } of [pair.reader, pair.follower]) configuration.adopt({ version: 1, routes: [], services, limits: undefined, workspaces: undefined }, 'store')
  pair.reader.endpointsFreshness.verifiedAt = pair.clock.now()
  return pair
}

// Guards against a router that starts late and counts the whole cold time again.
test('a cold time that is new in a known registration reaches routers that follow; they tell others the time that is left', async () => {
  const { clock, reader, follower, sync } = createRuledPair()
  await sync()
  reader.endpoints.apply([{ key: 'e', value: { ...ENDPOINT, revision: 1, warmUpLeftMs: 3_000 } }], undefined)
  await sync()
  expect(follower.warmUps.isCold(ENDPOINT)).toBe(true)
  clock.time += 2_000
  const [entry] = [...follower.endpoints.entries].map((known) => follower.warmUps.withTimeLeft(known))
  expect(entry?.warmUpLeftMs).toBe(750)
})

// Guards against permits that one router needs and no other issues, because only it presumes that the endpoint is cold.
test('a presumption reaches the followed router, and its end there reaches the followers', async () => {
  const { clock, reader, follower, sync } = createRuledPair()
  await sync()
  follower.warmUps.connectionLost(ENDPOINT)
  await sync()
  expect([reader, follower].map(({ warmUps }) => warmUps.isCold(ENDPOINT))).toEqual([true, true])
  clock.time += 2_000
  reader.endpoints.apply([{ key: 'e', value: { ...ENDPOINT, revision: 1 } }], undefined)
  await sync()
  expect([reader, follower].map(({ warmUps }) => warmUps.isCold(ENDPOINT))).toEqual([false, false])
})
