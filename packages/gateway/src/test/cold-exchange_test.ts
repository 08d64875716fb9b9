import { expect, test } from 'vitest'
import { SilentEventLog } from '@mimosarock/coordination/silent-event-log.js'
import { ConfigurationTransfer } from '@mimosarock/gateway/membership/configuration-transfer.js'
import type { FleetState } from '@mimosarock/gateway/membership/fleet-state.js'
import type { SyncAnswer } from '@mimosarock/gateway/membership/sync-answer.js'
import { SyncClient } from '@mimosarock/gateway/membership/sync-client.js'
import { SyncServer } from '@mimosarock/gateway/membership/sync-server.js'
import { createFleetState } from './create-fleet-state.js'

const ENDPOINT = { id: 'e', service: 's', address: 'e:1', availabilityZone: 'z', slots: 4, isDraining: false, startedAt: 1, revision: 1 }
const CONFIGURATION = {
  version: 1, routes: [], services: [{ name: 's', maximumConnections: undefined, warmUp: { durationMs: 3_000, requestsPerSecond: 20 } }], limits: undefined, workspaces: undefined
}
const clock = { time: 1_000_000, now (): number { return this.time } }

/** Creates a reader that knows an endpoint, and two routers that follow it. */
function createFleet () {
  const states = ['reader', 'a', 'b'].map((name) => createFleetState(name, clock)) as [FleetState, FleetState, FleetState]
  for (const { configuration } of states) configuration.adopt(CONFIGURATION, 'store')
  const [reader, ...followers] = states
  reader.endpoints.apply([{ key: 'e', value: ENDPOINT }], undefined)
  reader.endpointsFreshness.verifiedAt = clock.now()
  const server = new SyncServer(reader, 'i', () => clock.now(), () => 0)
  const clients = followers.map((state) => {
    const transfer = new ConfigurationTransfer(state.configuration, async () => await Promise.reject(new Error('unused')), clock, new SilentEventLog())
    const call = async (_: string, request: unknown) => JSON.parse(JSON.stringify(server.answer(JSON.parse(JSON.stringify(request))))) as SyncAnswer
    return new SyncClient(state, clock, call, transfer, () => undefined)
  })
  const sync = async (rounds: number): Promise<void> => {
    for (let round = 0; round < rounds; round += 1) {
      for (const client of clients) client.applyFollowed('reader', await client.sync('reader', { reportsLoad: true, followers: [] }), false)
      clock.time += 250
    }
  }
  return { reader, a: followers[0] as FleetState, b: followers[1] as FleetState, sync }
}

// Guards against a router that starts late and counts the whole cold time again.
test('routers that follow learn of a cold time that is new in a known registration; one that starts, of the time that is left', async () => {
  const { reader, a, sync } = createFleet()
  await sync(1)
  reader.endpoints.apply([{ key: 'e', value: { ...ENDPOINT, revision: 2, warmUpLeftMs: 3_000 } }], undefined)
  await sync(1)
  expect(a.warmUps.isCold(ENDPOINT)).toBe(true)
  clock.time += 2_000
  const answer = new SyncServer(a, 'i', () => clock.now(), () => 0).answer({
    router: { name: 'c', address: 'c', availabilityZone: 'z' }, routers: undefined, routerCount: 3, configurationVersion: 1, endpointsRevision: undefined, load: {}, notes: [], notesCursor: undefined
  })
  expect(answer.endpoints?.[0]?.warmUpLeftMs).toBe(750)
})

// Guards against permits that one router needs and no other issues, because only it presumes that the endpoint is cold.
test('a presumption reaches all routers, and so does its end', async () => {
  const { reader, a, b, sync } = createFleet()
  await sync(1)
  b.warmUps.connectionLost(ENDPOINT)
  await sync(2)
  expect([reader, a, b].map(({ warmUps }) => warmUps.isCold(ENDPOINT))).toEqual([true, true, true])
  await sync(8)
  reader.endpoints.apply([{ key: 'e', value: { ...ENDPOINT, revision: 2 } }], undefined)
  await sync(1)
  expect([reader, a, b].map(({ warmUps }) => warmUps.isCold(ENDPOINT))).toEqual([false, false, false])
})
