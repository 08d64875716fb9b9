import { SilentEventLog } from '@mimosarock/coordination/silent-event-log.js'
import type { FleetState } from '@mimosarock/gateway/membership/fleet-state.js'
import { pause } from '@mimosarock/gateway/membership/pause.js'
import type { PeerRpcClient } from '@mimosarock/gateway/membership/peer-rpc-client.js'
import { SyncServer } from '@mimosarock/gateway/membership/sync-server.js'
import type { PropagationBounds } from '@mimosarock/gateway/membership/propagation-bounds.js'
import type { EndpointEntry } from '@mimosarock/gateway/model/endpoint-entry.js'
import type { FleetStore } from '@mimosarock/gateway/model/fleet-store.js'
import type { StorePosition } from '@mimosarock/gateway/model/store-position.js'
import type { TopicReader } from '@mimosarock/gateway/model/topic-reader.js'
import { FleetTasks } from '@mimosarock/gateway/wiring/fleet-tasks.js'
import { vi } from 'vitest'
import { createConfiguration } from './create-configuration.js'
import { createFleetState } from './create-fleet-state.js'
import { MemoryStore } from './memory-store.js'

const ZONES = 3
const ENDPOINTS = 24
const HEARTBEAT_MS = 1_200
const STORE_LATENCY_MS = 4
const PEER_LATENCY_MS = 8
/** Time after which a caller gives up a router that does not answer. */
const PEER_TIMEOUT_MS = 450
const STEP_MS = 20
const WARM_UP_MS = 2_500
/** What changes in the store. */
const LEAVING_ENDPOINT = 0
const CHANGED_VERSION = 2
const EVACUATED_ZONE = 'z0'

/** What a router of the fleet can reach. */
interface Reach {
  hasStore: boolean
  hasPeers: boolean
  storeCalls: number
}

/** A router with the tasks that keep its state up to date. */
interface KnowledgeRouter {
  readonly state: FleetState
  readonly tasks: FleetTasks
  readonly server: SyncServer
  readonly reach: Reach
}

/** Fleet of routers in simulated time, each with its own path to one store. Paths are cut without a sign of it. */
export class KnowledgeFleet {
  readonly store = new MemoryStore()
  readonly clock = { now: () => performance.now() + 1_000_000 }
  private readonly _signal: AbortSignal
  private readonly _routers = new Map<string, KnowledgeRouter>()
  private readonly _leaving = new Set<number>()
  private _revision = 1
  private _stepping: Promise<void> | undefined

  /**
   * @param routerCount number of routers
   * @param propagationBounds bounds within which all routers have to know a change
   * @param signal ends the fleet
   */
  constructor (routerCount: number, propagationBounds: PropagationBounds, signal: AbortSignal) {
    this._signal = signal
    this.store.configurations.put('config', createConfiguration(1))
    for (let index = 0; index < ENDPOINTS; index += 1) this._register(index)
    for (let index = 0; index < routerCount; index += 1) this._add(`r${index}`, `z${index % ZONES}`, propagationBounds)
    const tables = [...this._routers.values()].map(({ state }) => state.routers)
    for (const table of tables) for (const { self } of tables) table.recordContact(self, 0)
    for (const { tasks } of this._routers.values()) tasks.run(signal).catch(() => undefined)
    this._sendHeartbeats().catch(() => undefined)
  }

  /**
   * Starts a fleet, and lets it run until its reader has just read the endpoints.
   * @param routerCount number of routers
   * @param boundMs time within which all routers have to know a change of the endpoints or the configuration
   * @param signal ends the fleet
   */
  static async start (routerCount: number, boundMs: number, signal: AbortSignal): Promise<KnowledgeFleet> {
    const fleet = new KnowledgeFleet(routerCount, { endpointsMs: boundMs, configurationMs: boundMs }, signal)
    await vi.advanceTimersByTimeAsync(WARM_UP_MS)
    await fleet._untilReaderHasRead()
    return fleet
  }

  /** Calls of all routers to the store so far. */
  get storeCalls (): number {
    return [...this._routers.values()].reduce((sum, { reach }) => sum + reach.storeCalls, 0)
  }

  /** Names of the routers in their order of preference as the reader. */
  get order (): readonly string[] {
    const [first] = this._routers.values()
    return (first as KnowledgeRouter).state.routers.inReaderOrder().map(({ name }) => name)
  }

  /**
   * State of a router.
   * @param name name of the router
   */
  stateOf (name: string): FleetState {
    return this._find(name).state
  }

  /** Lets the store and its readers go on until the reader has sent a read of the endpoints whose answer it has. */
  private async _untilReaderHasRead (): Promise<void> {
    const { endpointsFreshness } = this._find(this.order[0] as string).state
    const before = endpointsFreshness.verifiedAt
    while (endpointsFreshness.verifiedAt === before) await vi.advanceTimersByTimeAsync(1)
  }

  /** Cuts routers off from the store, or lets them reach it again. */
  setHasStore (names: readonly string[], hasStore: boolean): void {
    for (const name of names) this._find(name).reach.hasStore = hasStore
  }

  /** Stops routers from answering and from reaching anything. */
  freeze (names: readonly string[]): void {
    this.setHasStore(names, false)
    for (const name of names) this._find(name).reach.hasPeers = false
  }

  /** Changes what the store holds: an endpoint is leaving, a configuration, an evacuation. */
  changeStore (): void {
    this._leaving.add(LEAVING_ENDPOINT)
    this._revision += 1
    this._register(LEAVING_ENDPOINT)
    this.store.configurations.put('config', createConfiguration(CHANGED_VERSION))
    this.store.putEvacuation(EVACUATED_ZONE, true)
  }

  /**
   * Returns the longest time until a router knows each change of the store, in milliseconds.
   * @param limitMs time after which a router counts as never knowing it
   * @param excluded names of routers that are left out
   */
  async storeDelays (limitMs: number, excluded: readonly string[]): Promise<{ readonly endpoints: number, readonly configuration: number, readonly evacuation: number }> {
    const [endpoints, configuration, evacuation] = await Promise.all([
      this.longestDelay((state) => state.endpoints.find(`e${LEAVING_ENDPOINT}`)?.isDraining === true, limitMs, excluded),
      this.longestDelay((state) => state.configuration.version === CHANGED_VERSION, limitMs, excluded),
      this.longestDelay((state) => state.evacuations.includes(EVACUATED_ZONE), limitMs, excluded)
    ])
    return { endpoints, configuration, evacuation }
  }

  /**
   * Returns the longest time until a router knows something, in milliseconds.
   * @param knows whether a router with this state knows it
   * @param limitMs time after which a router counts as never knowing it
   * @param excluded names of routers that are left out
   */
  async longestDelay (knows: (state: FleetState) => boolean, limitMs: number, excluded: readonly string[]): Promise<number> {
    const startedAt = this.clock.now()
    const delays = new Map<string, number>()
    const names = [...this._routers.keys()].filter((name) => !excluded.includes(name))
    while (delays.size < names.length && this.clock.now() - startedAt < limitMs) {
      for (const name of names) if (!delays.has(name) && knows(this._find(name).state)) delays.set(name, this.clock.now() - startedAt)
      await this._step()
    }
    return Math.max(...names.map((name) => delays.get(name) ?? Infinity))
  }

  /** Advances the time, once for all that wait for the same step. */
  private async _step (): Promise<void> {
    this._stepping ??= vi.advanceTimersByTimeAsync(STEP_MS).then(() => { this._stepping = undefined })
    await this._stepping
  }

  private _find (name: string): KnowledgeRouter {
    return this._routers.get(name) as KnowledgeRouter
  }

  private _add (name: string, availabilityZone: string, propagationBounds: PropagationBounds): void {
    const reach = { hasStore: true, hasPeers: true, storeCalls: 0 }
    const state = createFleetState(name, this.clock, { availabilityZone })
    const tasks = new FleetTasks({
      state,
      store: this._storeOf(state, reach),
      peerClient: this._peerClientOf(reach) as PeerRpcClient,
      seeds: [],
      propagationBounds: () => propagationBounds,
      clock: this.clock,
      log: new SilentEventLog(),
      onProgress: () => undefined
    })
    const server = new SyncServer(state, name, () => this.clock.now(), () => tasks.distance, () => tasks.isStoreFailing)
    this._routers.set(name, { state, tasks, server, reach })
  }

  private _peerClientOf (reach: Reach): Pick<PeerRpcClient, 'sync' | 'configurationUpdate'> {
    const call = async <Answer>(address: string, answer: (server: SyncServer) => Answer): Promise<Answer> => {
      const peer = this._find(address)
      await pause(PEER_LATENCY_MS)
      if (!reach.hasPeers || !peer.reach.hasPeers) {
        await pause(PEER_TIMEOUT_MS - PEER_LATENCY_MS)
        throw new Error('no answer')
      }
      return JSON.parse(JSON.stringify(answer(peer.server))) as Answer
    }
    return {
      sync: async (address, request) => await call(address, (server) => server.answer(JSON.parse(JSON.stringify(request)))),
      configurationUpdate: async (address, fromVersion) => await call(address, (server) => server.configurationUpdate(fromVersion))
    }
  }

  private _storeOf ({ storeEra }: FleetState, reach: Reach): FleetStore {
    const { store } = this
    const linkTo = <Value>(topic: TopicReader<Value>): TopicReader<Value> => ({
      read: async (position: StorePosition | undefined, waitMs: number, signal: AbortSignal) => {
        reach.storeCalls += 1
        await crossLink(reach, signal)
        const page = await topic.read(position, waitMs, signal)
        await crossLink(reach, signal)
        return page
      }
    })
    return {
      era: storeEra,
      operatorRecords: linkTo(store.operatorRecords),
      endpoints: linkTo(store.endpoints),
      routers: linkTo(store.routers),
      crashes: linkTo(store.crashes),
      onCall: () => undefined,
      announce: async (entries) => await store.announce(entries),
      saveHolders: async (notes) => await store.saveHolders(notes),
      saveCrashes: async (crashes) => await store.saveCrashes(crashes),
      loadHolders: async () => await store.loadHolders()
    }
  }

  private _register (index: number): void {
    this.store.endpoints.put(`e${index}`, { ...entryOf(index, this._revision), isDraining: this._leaving.has(index) })
  }

  /** Lets all endpoints register again and again. */
  private async _sendHeartbeats (): Promise<void> {
    while (!this._signal.aborted) {
      this._revision += 1
      for (let index = 0; index < ENDPOINTS; index += 1) {
        await pause(HEARTBEAT_MS / ENDPOINTS, this._signal)
        this._register(index)
      }
    }
  }
}

/** Waits as long as a message takes, or until the call is aborted if the path is cut. */
async function crossLink (reach: Reach, signal: AbortSignal): Promise<void> {
  await pause(STORE_LATENCY_MS, signal)
  while (!reach.hasStore && !signal.aborted) await pause(STEP_MS, signal)
  signal.throwIfAborted()
}

function entryOf (index: number, revision: number): EndpointEntry {
  return { id: `e${index}`, service: 'app', address: `10.0.0.${index}:1`, availabilityZone: 'z', slots: 16, isDraining: false, startedAt: 1, revision }
}
