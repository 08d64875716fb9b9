import fc from 'fast-check'
import { expect, test } from 'vitest'
import { HolderTable } from '@mimosarock/gateway/choice/holder-table.js'
import { LoadView } from '@mimosarock/gateway/choice/load-view.js'
import { ConfigurationState } from '@mimosarock/gateway/configuration/configuration-state.js'
import { EndpointTable } from '@mimosarock/gateway/membership/endpoint-table.js'
import type { FleetKnowledge } from '@mimosarock/gateway/membership/fleet-knowledge.js'
import { RouterTable } from '@mimosarock/gateway/membership/router-table.js'
import type { SyncAnswer } from '@mimosarock/gateway/membership/sync-answer.js'
import { SyncClient } from '@mimosarock/gateway/membership/sync-client.js'
import { SyncServer } from '@mimosarock/gateway/membership/sync-server.js'
import { SilentEventLog } from '@mimosarock/coordination/silent-event-log.js'

class HandClock {
  ms = 10_000
  now (): number { return this.ms }
}

function createKnowledge (name: string, clock: HandClock): FleetKnowledge {
  const log = new SilentEventLog()
  return {
    configuration: new ConfigurationState(clock, log),
    endpoints: new EndpointTable(clock, log),
    endpointsFreshness: { verifiedAt: -Infinity },
    routers: new RouterTable({ name, availabilityZone: 'z', address: name }, clock),
    holders: new HolderTable(),
    loads: new LoadView(() => clock.now())
  }
}

/** A reader and two routers that ask it. */
function createFleet (): { clock: HandClock, reader: FleetKnowledge, routers: FleetKnowledge[], syncs: SyncClient[] } {
  const clock = new HandClock()
  const reader = createKnowledge('reader', clock)
  const server = new SyncServer(reader, 'i1', () => clock.now(), () => 0)
  const routers = ['a', 'b'].map((name) => createKnowledge(name, clock))
  const syncs = routers.map((knowledge) => new SyncClient(knowledge, clock, async (_address, request) => {
    return JSON.parse(JSON.stringify(server.answer(JSON.parse(JSON.stringify(request))))) as ReturnType<typeof server.answer>
  }, () => undefined))
  return { clock, reader, routers, syncs }
}

const FOLLOWING = { tellsLoad: true, followers: [] }
const CONFIGURATION = { version: 3, routes: [], services: [], limits: undefined, workspaces: undefined }
const ENDPOINT = {
  id: 'e1', service: 's', address: '10.0.0.1:1', availabilityZone: 'z', slots: 4, isDraining: false, startedAt: 1
}

test('holders reach the other routers through the reader', async () => {
  const { reader, routers, syncs } = createFleet()
  routers[0]?.holders.add('key', 'e1')
  reader.holders.add('other', 'e2')
  for (const sync of [...syncs, ...syncs]) await sync.sync('reader', FOLLOWING)
  expect(routers[1]?.holders.holders('key')).toEqual(['e1'])
  expect(routers[1]?.holders.holders('other')).toEqual(['e2'])
  expect(reader.holders.holders('key')).toEqual(['e1'])
  routers[0]?.holders.add('later', 'e3')
  for (const sync of syncs) await sync.sync('reader', FOLLOWING)
  expect(routers[1]?.holders.holders('later')).toEqual(['e3'])
})

test('holders of a key that many endpoints hold do not go round in circles', async () => {
  const { reader, routers, syncs } = createFleet()
  for (let endpoint = 0; endpoint < 20; endpoint += 1) routers[endpoint % 2]?.holders.add('hot', `e${endpoint}`)
  for (let round = 0; round < 5; round += 1) {
    for (const sync of syncs) await sync.sync('reader', FOLLOWING)
  }
  const cursors = [reader, ...routers].map((knowledge) => knowledge.holders.cursor)
  for (const sync of syncs) await sync.sync('reader', FOLLOWING)
  expect([reader, ...routers].map((knowledge) => knowledge.holders.cursor)).toEqual(cursors)
})

test('configuration, endpoints and loads reach a router, with the age of the knowledge', async () => {
  const { clock, reader, routers, syncs } = createFleet()
  reader.configuration.adopt(CONFIGURATION, 'store')
  reader.configuration.verified(clock.now())
  reader.endpoints.apply([{ key: 'e1', value: ENDPOINT }], undefined)
  reader.endpointsFreshness.verifiedAt = clock.now()
  reader.loads.begin('e1')
  clock.ms += 500
  const answer = await syncs[0]?.sync('reader', FOLLOWING)
  const router = routers[0] as FleetKnowledge
  expect(router.loads.total('e1')).toBe(0)
  syncs[0]?.takeLoad('reader', answer as SyncAnswer)
  expect(router.configuration.version).toBe(3)
  expect(router.configuration.ageMs).toBe(500)
  expect(router.endpoints.ready('s').map((endpoint) => endpoint.id)).toEqual(['e1'])
  expect(router.loads.total('e1')).toBe(1)
  expect(router.routers.size).toBe(2)
})

test('no router counts what it told itself among the others\' loads', async () => {
  const { clock, reader, routers, syncs } = createFleet()
  const [first, second] = routers as [FleetKnowledge, FleetKnowledge]
  reader.endpoints.apply([{ key: 'e1', value: ENDPOINT }], undefined)
  reader.endpointsFreshness.verifiedAt = clock.now()
  first.loads.begin('e1')
  second.loads.begin('e1')
  reader.loads.begin('e1')
  for (const sync of [...syncs, ...syncs]) sync.takeLoad('reader', await sync.sync('reader', FOLLOWING))
  expect([reader, first, second].map((knowledge) => knowledge.loads.total('e1'))).toEqual([3, 3, 3])
})

test('a reader that asks another router to learn of it is not counted twice there', async () => {
  const { clock, reader, routers, syncs } = createFleet()
  const [follower] = routers as [FleetKnowledge]
  reader.endpoints.apply([{ key: 'e1', value: ENDPOINT }], undefined)
  reader.endpointsFreshness.verifiedAt = clock.now()
  reader.loads.begin('e1')
  const [sync] = syncs as [SyncClient]
  sync.takeLoad('reader', await sync.sync('reader', FOLLOWING))
  const server = new SyncServer(follower, 'i2', () => clock.now(), () => 1)
  const asking = new SyncClient(reader, clock, async (_address, request) => server.answer(request), () => undefined)
  await asking.sync('follower', { tellsLoad: false, followers: [] })
  expect(follower.loads.total('e1')).toBe(1)
})

test('a router tells the routers that it knows', async () => {
  const { reader, routers, syncs } = createFleet()
  routers[0]?.routers.heard({ name: 'b', availabilityZone: 'z', address: 'b' }, 0)
  await syncs[0]?.sync('reader', FOLLOWING)
  expect(reader.routers.inReaderOrder().map((router) => router.name).sort()).toEqual(['a', 'b', 'reader'])
})

test('a reader that never read the store makes nobody fresh', async () => {
  const { routers, syncs } = createFleet()
  await syncs[0]?.sync('reader', FOLLOWING)
  expect(routers[0]?.configuration.verifiedAt).toBe(-Infinity)
  expect(routers[0]?.endpointsFreshness.verifiedAt).toBe(-Infinity)
})

test('an endpoint that the reader no longer has is gone', async () => {
  const { clock, reader, routers, syncs } = createFleet()
  reader.endpoints.apply([{ key: 'e1', value: ENDPOINT }], undefined)
  reader.endpointsFreshness.verifiedAt = clock.now()
  await syncs[0]?.sync('reader', FOLLOWING)
  reader.endpoints.apply([{ key: 'e1', value: undefined }], undefined)
  reader.endpointsFreshness.verifiedAt = clock.now()
  await syncs[0]?.sync('reader', FOLLOWING)
  expect(routers[0]?.endpoints.ready('s')).toEqual([])
})

test('whatever endpoints come and go, and whoever is asked, a router ends with the endpoints of the one that it follows', async () => {
  const change = fc.record({ id: fc.constantFrom('a', 'b', 'c', 'd', 'e'), isGone: fc.boolean(), slots: fc.integer({ min: 1, max: 3 }) })
  const step = fc.record({ at: fc.constantFrom('reader', 'other'), changes: fc.array(change, { maxLength: 4 }), asked: fc.constantFrom('reader', 'other') })
  await fc.assert(fc.asyncProperty(fc.array(step, { maxLength: 25 }), async (steps) => {
    const clock = new HandClock()
    const sources = { reader: createKnowledge('reader', clock), other: createKnowledge('other', clock) }
    const servers = {
      reader: new SyncServer(sources.reader, 'i1', () => clock.now(), () => 0),
      other: new SyncServer(sources.other, 'i2', () => clock.now(), () => 0)
    }
    const follower = createKnowledge('follower', clock)
    const sync = new SyncClient(follower, clock, async (address, request) => {
      return JSON.parse(JSON.stringify(servers[address as 'reader' | 'other'].answer(JSON.parse(JSON.stringify(request)))))
    }, () => undefined)
    for (const { at, changes, asked } of steps) {
      for (const { id, isGone, slots } of changes) {
        sources[at].endpoints.apply([{ key: id, value: isGone ? undefined : { ...ENDPOINT, id, slots } }], undefined)
        if (!isGone) sources[at].loads.begin(id)
      }
      clock.ms += 10
      sources[asked].endpointsFreshness.verifiedAt = clock.now()
      sync.takeLoad(asked, await sync.sync(asked, FOLLOWING))
      const names = [...sources[asked].endpoints.entries].map(({ id, slots }) => `${id}${slots}`)
      expect([...follower.endpoints.entries].map(({ id, slots }) => `${id}${slots}`).sort()).toEqual(names.sort())
      for (const { id } of sources[asked].endpoints.entries) expect(follower.loads.total(id)).toBe(sources[asked].loads.total(id))
    }
  }), { seed: 9, numRuns: 200 })
})

test('a router that was away for more changes than are kept gets all endpoints', async () => {
  const { clock, reader, routers, syncs } = createFleet()
  reader.endpointsFreshness.verifiedAt = clock.now()
  await syncs[0]?.sync('reader', FOLLOWING)
  for (let index = 0; index < 5_000; index += 1) {
    reader.endpoints.apply([{ key: 'e1', value: { ...ENDPOINT, startedAt: index } }], undefined)
  }
  clock.ms += 10
  reader.endpointsFreshness.verifiedAt = clock.now()
  const answer = await syncs[0]?.sync('reader', FOLLOWING)
  expect([answer?.endpoints?.length, answer?.endpointChanges]).toEqual([1, undefined])
  expect(routers[0]?.endpoints.find('e1')?.startedAt).toBe(4_999)
})
