import { describe, expect, test } from 'vitest'
import { SilentEventLog } from '@mimosarock/coordination/silent-event-log.js'
import { ConfigurationTransfer } from '@mimosarock/gateway/transfers/configuration-transfer.js'
import type { FleetState } from '@mimosarock/gateway/membership/fleet-state.js'
import type { SyncAnswer } from '@mimosarock/gateway/membership/sync-answer.js'
import { SyncClient } from '@mimosarock/gateway/membership/sync-client.js'
import { SyncServer } from '@mimosarock/gateway/membership/sync-server.js'
import { FleetShares } from '@mimosarock/gateway/fairness/fleet-shares.js'
import { createPeerCalls } from './create-peer-calls.js'
import { createFleetState } from './create-fleet-state.js'
import { FairFleet } from './fair-fleet.js'

/** Ten workspaces ask for seven tenths of the capacity, and one for six times as much as each of them. */
const USUAL = Object.fromEntries(Array.from({ length: 10 }, (_, index) => [`w${index}`, 0.07]))
const SURGE = { ...USUAL, surge: 0.42 }
const QUIET_SECONDS = 2
const SURGE_SECONDS = 12

async function playSurge (routers: number, isFair: boolean): Promise<FairFleet> {
  const fleet = new FairFleet(routers, isFair, 11)
  await fleet.run(USUAL, QUIET_SECONDS)
  await fleet.run(SURGE, SURGE_SECONDS)
  await fleet.finish()
  return fleet
}

function leastServed (fleet: FairFleet): number {
  return Math.min(...Object.keys(USUAL).map((workspace) => fleet.servedFraction(workspace)))
}

// Guards against a surge through all routers that takes the room of the other workspaces, each of whose requests is alone in its queue.
describe.each([31, 61, 195])('%i routers, one workspace sends six times its usual', (routers) => {
  test('the others are served nearly as before, better than without shares, and no capacity is left unused', { timeout: 120_000 }, async () => {
    const [fair, unfair] = [await playSurge(routers, true), await playSurge(routers, false)]
    expect(leastServed(fair)).toBeGreaterThan(0.85)
    expect(leastServed(fair)).toBeGreaterThan(leastServed(unfair))
    const servedOf = (fleet: FairFleet): number => [...fleet.results.values()].reduce((sum, { served }) => sum + served, 0)
    expect(servedOf(fair)).toBeGreaterThan(0.97 * servedOf(unfair))
  })
})

// Guards against requests that are refused because of a share although the service has room.
test('without a surge nobody is limited', async () => {
  const fleet = new FairFleet(31, true, 12)
  await fleet.run({ ...USUAL, large: 0.1 }, 8)
  await fleet.finish()
  expect(Math.min(fleet.servedFraction('large'), leastServed(fleet))).toBeGreaterThan(0.97)
})

// Guards against shares that outlast the router that computed them.
test('routers that lose the one that computes shares queue all requests again', async () => {
  const fleet = new FairFleet(31, true, 13)
  await fleet.run(SURGE, 6)
  fleet.lost = new Set(Array.from({ length: 30 }, (_, index) => index + 1))
  await fleet.run(USUAL, 3)
  fleet.results.clear()
  await fleet.run({ surge: 0.3 }, 4)
  await fleet.finish()
  expect(fleet.servedFraction('surge')).toBeGreaterThan(0.95)
})

// Guards against shares that are computed but never reach the routers that refuse requests.
test('the demand of a follower and the shares of the followed router travel with sync requests, and end with the surge', async () => {
  const clock = { time: 1_000_000, now (): number { return this.time } }
  const [reader, follower] = ['reader', 'follower'].map((name) => createFleetState(name, clock)) as [FleetState, FleetState]
  const server = new SyncServer(reader, 'i', () => clock.now(), () => 0)
  const transfer = new ConfigurationTransfer(follower.configuration, async () => await Promise.reject(new Error('unused')), clock, new SilentEventLog())
  const client = new SyncClient(follower, clock, createPeerCalls(async (_, request) => JSON.parse(JSON.stringify(server.answer(request))) as SyncAnswer), transfer, () => undefined)
  follower.fairness.setFollowing(() => true)
  const sync = async (): Promise<void> => {
    client.applyFollowed('reader', await client.sync('reader', { reportsLoad: true, followers: [] }), false)
    clock.time += 250
  }
  for (let round = 0; round < 8; round += 1) {
    for (let number = 0; number < 40; number += 1) {
      const workspace = number < 30 ? 'surge' : `w${number}`
      follower.fairness.countArrival('s', workspace)
      if (number % 2 === 0) follower.fairness.countAdmission('s', workspace)
      else follower.fairness.recordRefusal('s')
    }
    await sync()
  }
  expect(follower.fairness.shares).toEqual([{ service: 's', workspace: 'surge', queuedFraction: expect.any(Number) as number }])
  for (let round = 0; round < 20; round += 1) await sync()
  expect([reader.fairness.limitedCount, follower.fairness.limitedCount]).toEqual([0, 0])
})

// Guards against a general overload that is taken for a surge of the workspaces that are listed.
test('nobody is limited while very many workspaces of one size ask for twice the capacity', () => {
  const shares = new FleetShares()
  const workspaces = Array.from({ length: 8 }, (_, index) => ({ workspace: `w${index}`, arrivalsPerSecond: 2, admittedPerSecond: 1 }))
  for (let step = 0; step < 20; step += 1) shares.update([{ service: 's', arrivalsPerSecond: 2_000, admittedPerSecond: 1_000, workspaces }])
  expect(shares.shares).toEqual([])
})
