import { create } from '@bufbuild/protobuf'
import { afterEach, expect, test } from 'vitest'
import { ConfigurationIndex } from '@mimosarock/coordination/configuration-index.js'
import type { ConfigurationSource } from '@mimosarock/coordination/configuration-source.js'
import { HeartbeatMembership } from '@mimosarock/coordination/membership/heartbeat-membership.js'
import { PeerConnections } from '@mimosarock/coordination/membership/peer-connections.js'
import { PeerMethods } from '@mimosarock/coordination/membership/peer-methods.js'
import { PeerServer } from '@mimosarock/coordination/membership/peer-server.js'
import { TrafficCounter } from '@mimosarock/coordination/membership/traffic-counter.js'
import { SilentEventLog } from '@mimosarock/coordination/silent-event-log.js'
import { SystemClock } from '@mimosarock/coordination/system-clock.js'
import type { VmEntry } from '@mimosarock/coordination/vm-entry.js'
import { EndpointAvailability } from '@mimosarock/placement/endpoint-availability.js'
import { ConfigurationSchema, PoolKind } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import type { Configuration } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { ModelEngineStandIn } from '@mimosarock/stand-ins/model-engine-stand-in.js'
import { ConfiguredOwners } from '../owner/configured-owners.js'
import { WatchedEndpoints } from '../watch/watched-endpoints.js'

const cleanups: Array<() => unknown> = []
afterEach(async () => {
  for (const close of cleanups.splice(0).reverse()) await close()
})

class SharedConfiguration implements ConfigurationSource {
  private readonly _listeners = new Set<() => void>()
  private _current: ConfigurationIndex | undefined

  current (): ConfigurationIndex | undefined {
    return this._current
  }

  onChange (listener: () => void): () => void {
    this._listeners.add(listener)
    return () => this._listeners.delete(listener)
  }

  set (configuration: Configuration): void {
    this._current = new ConfigurationIndex(configuration, (this._current?.revision ?? 0) + 1, 1)
    for (const listener of this._listeners) listener()
  }
}

interface Router {
  readonly id: string
  readonly membership: HeartbeatMembership
  readonly watched: WatchedEndpoints
  readonly owners: ConfiguredOwners
}

interface Fleet {
  readonly engines: readonly ModelEngineStandIn[]
  readonly routers: readonly Router[]
  readonly configuration: SharedConfiguration
  /** Entries of the VM list as seen by each router, by router id. */
  readonly lists: Map<string, VmEntry[]>
  setConfiguration (options: { retired?: readonly string[], minimumLiveEndpoints?: number }): void
}

async function startFleet (routerCount: number, engineCount: number): Promise<Fleet> {
  const engines = await Promise.all(Array.from({ length: engineCount }, startEngine))
  const configuration = new SharedConfiguration()
  const lists = new Map<string, VmEntry[]>()
  const setConfiguration: Fleet['setConfiguration'] = ({ retired = [], minimumLiveEndpoints = 0 }) => {
    configuration.set(create(ConfigurationSchema, {
      pools: [{
        name: 'chat',
        kind: PoolKind.MODEL,
        endpoints: engines.map((engine, index) => ({ name: `e${index}`, address: engine.address, availabilityZone: 'a', capacity: 4 }))
      }],
      retirementRules: [{ name: 'rule', pool: 'chat', minimumLiveEndpoints }],
      retirements: retired.map((endpoint) => ({ pool: 'chat', endpoint, reason: 'test' }))
    }))
  }
  setConfiguration({})
  const routers: Router[] = []
  const seeds: string[] = []
  for (let index = 0; index < routerCount; index += 1) routers.push(await startRouter(`r${index}`, seeds, configuration, lists))
  await eventually(() => routers.every((router) => router.membership.live().length === routerCount))
  return { engines, routers, configuration, lists, setConfiguration }
}

async function startEngine (): Promise<ModelEngineStandIn> {
  const engine = new ModelEngineStandIn()
  await engine.server.start()
  cleanups.push(() => engine.server.stop())
  return engine
}

async function startRouter (id: string, seeds: string[], configuration: ConfigurationSource, lists: Map<string, VmEntry[]>): Promise<Router> {
  const methods = new PeerMethods()
  const common = { access: {}, clock: new SystemClock(), eventLog: new SilentEventLog(), traffic: new TrafficCounter(), methods }
  const server = new PeerServer({ ...common, address: '127.0.0.1:0' })
  const peerAddress = await server.listen()
  const messenger = new PeerConnections(common)
  const vmList = { list: async () => lists.get(id) ?? [] }
  const membership = new HeartbeatMembership({
    ...common,
    self: { id, availabilityZone: 'a', peerAddress, forwardAddress: peerAddress, leaving: false },
    messenger,
    vmList,
    seeds: [...seeds],
    heartbeatMs: 100,
    suspicionMs: 400
  })
  seeds.push(peerAddress)
  const owners = new ConfiguredOwners(configuration, membership)
  const watched = new WatchedEndpoints({ ...common, configuration, membership, owners, vmList, connectTimeoutMs: 200, pollMs: 100 })
  const stopped = new AbortController()
  membership.run(stopped.signal)
  watched.run(stopped.signal)
  cleanups.push(async () => {
    stopped.abort()
    messenger.close()
    await server.close()
  })
  return { id, membership, watched, owners }
}

async function eventually (condition: () => boolean, timeoutMs = 20_000): Promise<boolean> {
  const end = performance.now() + timeoutMs
  while (!condition()) {
    if (performance.now() > end) return false
    await new Promise((resolve) => setTimeout(resolve, 10))
  }
  return true
}

const availabilitiesSeen = (fleet: Fleet, endpoint: string): EndpointAvailability[] =>
  fleet.routers.map((router) => router.watched.availability('chat', endpoint))
const allSee = (fleet: Fleet, endpoint: string, availability: EndpointAvailability): boolean =>
  availabilitiesSeen(fleet, endpoint).every((seen) => seen === availability)
const ownerOf = (fleet: Fleet, endpoint: string): Router => {
  const id = fleet.routers[0]?.owners.ownerOf('chat', endpoint)?.id
  return fleet.routers.find((router) => router.id === id) as Router
}

test('the owner probes an endpoint, and every router learns that it has failed or recovered', async () => {
  const fleet = await startFleet(5, 3)
  const engine = fleet.engines[1] as ModelEngineStandIn
  engine.faults.failing = true
  expect(await eventually(() => allSee(fleet, 'e1', EndpointAvailability.FAILED))).toBe(true)
  expect(allSee(fleet, 'e0', EndpointAvailability.LIVE)).toBe(true)
  engine.faults.failing = false
  expect(await eventually(() => allSee(fleet, 'e1', EndpointAvailability.LIVE))).toBe(true)
  const owner = ownerOf(fleet, 'e1')
  expect(await eventually(() => owner.watched.reportedLoad('chat', 'e1') !== undefined)).toBe(true)
  const others = fleet.routers.filter((router) => router !== owner)
  expect(others.map((router) => router.watched.reportedLoad('chat', 'e1'))).toEqual(others.map(() => undefined))
})

test('an endpoint stays available when its open connections stop responding permanently', async () => {
  const fleet = await startFleet(1, 1)
  const [engine, router] = [fleet.engines[0] as ModelEngineStandIn, fleet.routers[0] as Router]
  await eventually(() => router.watched.reportedLoad('chat', 'e0') !== undefined)
  engine.server.silenceConnections()
  const silencedAt = performance.now()
  expect(await eventually(() => (router.watched.reportedLoad('chat', 'e0')?.receivedAt ?? 0) > silencedAt)).toBe(true)
  expect(router.watched.availability('chat', 'e0')).toBe(EndpointAvailability.LIVE)
})

test('an endpoint marked as leaving in one VM list is leaving on every router, although other lists disagree', async () => {
  const fleet = await startFleet(8, 2)
  const address = fleet.engines[0]?.address ?? ''
  const entry: VmEntry = { name: 'vm', role: 'endpoint', address, availabilityZone: 'a', leaving: true }
  const routerIds = fleet.routers.map((router) => router.id)
  for (const id of routerIds) fleet.lists.set(id, [{ ...entry, leaving: false }])
  // Only some routers read the VM list; the entry is marked in one list after the other until a reader sees it.
  for (const id of routerIds) {
    fleet.lists.set(id, [entry])
    const seen = await eventually(() => allSee(fleet, 'e0', EndpointAvailability.LEAVING), 3_000)
    fleet.lists.set(id, [])
    if (!seen) continue
    expect(allSee(fleet, 'e1', EndpointAvailability.LIVE)).toBe(true)
    expect(await eventually(() => allSee(fleet, 'e0', EndpointAvailability.LIVE))).toBe(true)
    return
  }
  expect.fail('no router reads the VM list')
})

test('a retirement waits for the minimum of live endpoints, and two retirements do not rely on each other', async () => {
  const fleet = await startFleet(2, 3)
  fleet.setConfiguration({ retired: ['e0'], minimumLiveEndpoints: 2 })
  expect(allSee(fleet, 'e0', EndpointAvailability.LEAVING)).toBe(true)
  fleet.setConfiguration({ retired: ['e0', 'e1'], minimumLiveEndpoints: 2 })
  expect(allSee(fleet, 'e0', EndpointAvailability.LIVE)).toBe(true)
  expect(allSee(fleet, 'e1', EndpointAvailability.LIVE)).toBe(true)
  fleet.setConfiguration({ retired: ['e0', 'e1'], minimumLiveEndpoints: 1 })
  expect(allSee(fleet, 'e0', EndpointAvailability.LEAVING)).toBe(true)
  const engine = fleet.engines[2] as ModelEngineStandIn
  engine.faults.failing = true
  expect(await eventually(() => allSee(fleet, 'e0', EndpointAvailability.LIVE))).toBe(true)
})

test('failed calls mark an endpoint as failed on every router, and probes mark it as live again', async () => {
  const fleet = await startFleet(3, 1)
  const owner = ownerOf(fleet, 'e0')
  for (let call = 0; call < 5; call += 1) owner.watched.recordFailure('chat', 'e0')
  expect(owner.watched.availability('chat', 'e0')).toBe(EndpointAvailability.FAILED)
  expect(await eventually(() => allSee(fleet, 'e0', EndpointAvailability.FAILED))).toBe(true)
  expect(await eventually(() => allSee(fleet, 'e0', EndpointAvailability.LIVE))).toBe(true)
})

test('the owner of an engine receives its cache events', async () => {
  const fleet = await startFleet(2, 1)
  const owner = ownerOf(fleet, 'e0')
  const engine = fleet.engines[0] as ModelEngineStandIn
  const response = await fetch(`http://${engine.address}/v1/chat/completions`, {
    method: 'POST',
    headers: { 'content-type': 'application/json', 'x-request-id': 'q', 'x-cache-key': 'k1' },
    body: JSON.stringify({ model: 'm', messages: [{ role: 'user', content: 'one two three' }], max_tokens: 2 })
  })
  await response.text()
  expect(await eventually(() => owner.watched.cacheIndex('chat', 'e0')?.get('k1')?.certain === true)).toBe(true)
})
