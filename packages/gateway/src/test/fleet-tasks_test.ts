import { expect, test, vi } from 'vitest'
import { SilentEventLog } from '@mimosarock/coordination/silent-event-log.js'
import { pause } from '@mimosarock/gateway/membership/pause.js'
import { SyncServer } from '@mimosarock/gateway/membership/sync-server.js'
import { FleetTasks } from '@mimosarock/gateway/wiring/fleet-tasks.js'
import type { FleetTasksOptions } from '@mimosarock/gateway/wiring/fleet-tasks-options.js'
import { createConfiguration } from './create-configuration.js'
import { createFleetState } from './create-fleet-state.js'
import { MemoryStore } from './memory-store.js'
import { STATED_PROPAGATION_BOUNDS } from './stated-propagation-bounds.js'
import { useSimulatedTime } from './use-simulated-time.js'

const ROUTERS = 78
const ZONES = 3
const CALL_TIMEOUT_MS = 450
/** Time in which a router notices that the store answers again, and reads it. */
const NOTICED_MS = 1_000
/** Stated bound: from this time after the acknowledgement that it leaves, an endpoint gets no request. */
const BOUND_MS = 3_000
/** Part of the bound for a request on its way, and for the reading by the store's clock. */
const MARGIN_MS = 500
const clock = { now: () => performance.now() + 1_000_000 }
const simulated = useSimulatedTime()

/** Position in the reader order of a router that leaves reading to many others while these answer. */
const LATE_RANK = 60

/** Name of the router at a position of the reader order of the fleet. */
function nameAtRank (rank: number): string {
  const { routers } = createFleetState('r0', clock, { availabilityZone: 'z0' })
  for (let index = 0; index < ROUTERS; index += 1) routers.recordContact({ name: `r${index}`, address: `r${index}`, availabilityZone: `z${index % ZONES}` }, 0)
  return routers.inReaderOrder()[rank]?.name as string
}

/** A router of a large fleet that follows another one, whose store holds two endpoints. */
async function startFollower (name = 'r1') {
  const store = new MemoryStore()
  const entryOf = (id: string) => ({ id, service: 'app', address: `${id}:1`, availabilityZone: 'z0', slots: 4, isDraining: false, startedAt: 1, revision: 1 })
  store.configurations.put('config', createConfiguration(3))
  for (const id of ['e1', 'e2']) store.endpoints.put(id, entryOf(id))
  const source = createFleetState('r0', clock, { availabilityZone: 'z0' })
  const state = createFleetState(name, clock, { availabilityZone: `z${Number(name.slice(1)) % ZONES}` })
  for (let index = 0; index < ROUTERS; index += 1) {
    const entry = { name: `r${index}`, address: `r${index}`, availabilityZone: `z${index % ZONES}` }
    for (const { routers } of [source, state]) routers.recordContact(entry, 0)
  }
  const readStore = (): void => {
    source.configuration.adopt(createConfiguration(3), 'store')
    source.configuration.markRead(clock.now())
    source.configuration.markVerified(clock.now())
    source.endpoints.replace(['e1', 'e2'].map(entryOf), undefined)
    source.endpointsFreshness.verifiedAt = clock.now()
  }
  readStore()
  const peers = { areSilent: false, areStale: false }
  const server = new SyncServer(source, 'r0', () => clock.now(), () => 0)
  const peerClient: FleetTasksOptions['peerClient'] = {
    sync: async (_address, request) => {
      if (peers.areSilent) await pause(CALL_TIMEOUT_MS)
      if (peers.areSilent) throw new Error('no answer')
      if (!peers.areStale) readStore()
      return JSON.parse(JSON.stringify(server.answer(request)))
    },
    configurationNews: async (_address, request) => {
      if (peers.areSilent) throw new Error('no answer')
      return server.configurationNews(request)
    },
    configurationUpdate: async (_address, fromVersion) => server.configurationUpdate(fromVersion)
  }
  const tasks = new FleetTasks({ state, store, peerClient, seeds: ['r0'], propagationBounds: () => ({ endpointsMs: BOUND_MS, configurationMs: BOUND_MS }), clock, log: new SilentEventLog(), onProgress: () => undefined })
  tasks.run(simulated.signal).catch(() => undefined)
  await vi.advanceTimersByTimeAsync(3_000)
  return { store, state, tasks, peers }
}

// Guards against DRAIN as on darovnik-zoznamy-grown, scale-1: after the loss of all routers others do not answer for seconds, and a router searched one after the
// other for one that does before it read the store, which would have told it at once that an endpoint had left.
test('a router of a large fleet to which no other one answers any more learns from the store in time that an endpoint has left', async () => {
  const { store, state, tasks, peers } = await startFollower()
  expect([tasks.source !== undefined, state.endpoints.find('e1') !== undefined]).toEqual([true, true])
  peers.areSilent = true
  store.endpoints.put('e1', undefined)
  await vi.advanceTimersByTimeAsync(BOUND_MS - MARGIN_MS)
  expect([state.endpoints.find('e1'), state.endpoints.find('e2') !== undefined]).toEqual([undefined, true])
})

// Guards against a removed endpoint that is kept as after an outage of the store, since this router alone had lost touch with the store and the others.
test('a router that had lost touch with the store and all others drops an endpoint that has left meanwhile as soon as it reads the store', async () => {
  const { store, state, peers } = await startFollower()
  peers.areSilent = true
  store.endpoints.isDown = true
  store.endpoints.put('e1', undefined)
  await vi.advanceTimersByTimeAsync(8_000)
  expect(state.endpoints.find('e1')).not.toBe(undefined)
  store.endpoints.isDown = false
  await vi.advanceTimersByTimeAsync(NOTICED_MS)
  expect([state.endpoints.find('e1'), state.endpoints.find('e2') !== undefined]).toEqual([undefined, true])
})

// Guards against a fleet without endpoints after an outage of the store, in which their registrations lapse: the others answer, so it was lost to all.
test('a router that others answer, none of which can read the store, keeps an endpoint that is missing after the outage for some time', async () => {
  const { store, state, peers } = await startFollower()
  peers.areStale = true
  store.endpoints.isDown = true
  store.endpoints.put('e1', undefined)
  await vi.advanceTimersByTimeAsync(12_000)
  store.endpoints.isDown = false
  await vi.advanceTimersByTimeAsync(NOTICED_MS)
  expect(state.endpoints.find('e1')).not.toBe(undefined)
  await vi.advanceTimersByTimeAsync(BOUND_MS)
  state.endpoints.removeExpired()
  expect([state.endpoints.find('e1'), state.endpoints.find('e2') !== undefined]).toEqual([undefined, true])
})

// Guards against a router that starts and waits to be sent a configuration of which it has heard, although it could read it at once.
test('a router that starts reads the configuration from the store, also if it has heard of it before', async () => {
  const store = new MemoryStore()
  store.configurations.put('config', createConfiguration(3))
  const state = createFleetState('r1', clock)
  state.configuration.markHeard(clock.now())
  state.evacuations.recordReading({ offset: 1, zones: [], isSettled: true })
  state.routers.recordContact({ name: 'r0', address: 'r0', availabilityZone: 'z' }, 0)
  const peerClient = { sync: async () => await new Promise(() => undefined) }
  const tasks = new FleetTasks({
    state, store, peerClient: peerClient as unknown as FleetTasksOptions['peerClient'], seeds: ['r0'], propagationBounds: () => STATED_PROPAGATION_BOUNDS, clock, log: new SilentEventLog(), onProgress: () => undefined
  })
  tasks.run(simulated.signal).catch(() => undefined)
  await vi.advanceTimersByTimeAsync(200)
  expect(state.configuration.version).toBe(3)
})

// Guards against a configuration that a router does not read although its copy is too old, because others answer it: no other test fails without that rule.
test('a router late in the order, whose peers answer and have lost the store, reads a changed configuration from the store within the bound', async () => {
  const { store, state, peers } = await startFollower(nameAtRank(LATE_RANK))
  peers.areStale = true
  store.configurations.put('config', createConfiguration(4))
  await vi.advanceTimersByTimeAsync(BOUND_MS - MARGIN_MS / 2)
  expect(state.configuration.version).toBe(4)
})
