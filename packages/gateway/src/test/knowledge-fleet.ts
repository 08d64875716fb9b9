import { SilentEventLog } from '@mimosarock/coordination/silent-event-log.js'
import type { FleetState } from '@mimosarock/gateway/membership/fleet-state.js'
import { pause } from '@mimosarock/gateway/membership/pause.js'
import { ProgressTimeout } from '@mimosarock/gateway/membership/progress-timeout.js'
import { SyncServer } from '@mimosarock/gateway/membership/sync-server.js'
import type { PropagationBounds } from '@mimosarock/gateway/membership/propagation-bounds.js'
import type { TimeLimits } from '@mimosarock/gateway/membership/time-limits.js'
import type { EndpointEntry } from '@mimosarock/gateway/model/endpoint-entry.js'
import type { FleetStore } from '@mimosarock/gateway/model/fleet-store.js'
import type { StorePosition } from '@mimosarock/gateway/model/store-position.js'
import type { TopicReader } from '@mimosarock/gateway/model/topic-reader.js'
import { FleetTasks } from '@mimosarock/gateway/wiring/fleet-tasks.js'
import type { FleetTasksOptions } from '@mimosarock/gateway/wiring/fleet-tasks-options.js'
import { vi } from 'vitest'
import { createConfiguration } from './create-configuration.js'
import { createFleetState } from './create-fleet-state.js'
import type { FleetLinks } from './fleet-links.js'
import type { MessageReceiver } from './message-receiver.js'
import { MemoryStore } from './memory-store.js'

const ZONES = 3
/** Name of the store as a member of the links. */
const STORE = 'store'
const ENDPOINTS = 24
const HEARTBEAT_MS = 1_200
const STORE_LATENCY_MS = 4
const PEER_LATENCY_MS = 8
/** Limits of a sync request and of a transfer. */
const SYNC_LIMITS: TimeLimits = { progressMs: 450, totalMs: 3_000 }
const TRANSFER_LIMITS: TimeLimits = { progressMs: 1_000, totalMs: 15_000 }
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
  /** Time by which each message to and from the store is late, in milliseconds. */
  storeDelayMs: number
}

/** A router with the tasks that keep its state up to date. */
interface KnowledgeRouter {
  readonly state: FleetState
  readonly tasks: FleetTasks
  readonly server: SyncServer
  readonly reach: Reach
}

/** A call of a router to another one. */
interface PeerCall {
  readonly from: string
  readonly to: string
  readonly request: unknown
  readonly limits: TimeLimits
  /** Ends a transfer and is told of its progress; undefined for a sync request. */
  readonly receiver: MessageReceiver | undefined
}

/** Fleet of routers in simulated time, each with its own path to one store. Paths are cut without a sign of it. */
export class KnowledgeFleet {
  readonly store = new MemoryStore()
  readonly clock = { now: () => performance.now() + 1_000_000 }
  private readonly _signal: AbortSignal
  private readonly _links: FleetLinks | undefined
  private readonly _routers = new Map<string, KnowledgeRouter>()
  private readonly _leaving = new Set<number>()
  private _revision = 1
  private _stepping: Promise<void> | undefined

  /**
   * @param routerCount number of routers
   * @param propagationBounds bounds within which all routers have to know a change
   * @param signal ends the fleet
   * @param links links on which messages take time by their length; by default each message takes the same time
   */
  constructor (routerCount: number, propagationBounds: PropagationBounds, signal: AbortSignal, links?: FleetLinks) {
    this._signal = signal
    this._links = links
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
   * @param links links on which messages take time by their length
   */
  static async start (routerCount: number, boundMs: number, signal: AbortSignal, links?: FleetLinks): Promise<KnowledgeFleet> {
    const fleet = new KnowledgeFleet(routerCount, { endpointsMs: boundMs, configurationMs: boundMs }, signal, links)
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

  /** Lets each message between routers and the store be late. */
  delayStore (names: readonly string[], delayMs: number): void {
    for (const name of names) this._find(name).reach.storeDelayMs = delayMs
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
    const reach = { hasStore: true, hasPeers: true, storeCalls: 0, storeDelayMs: 0 }
    const state = createFleetState(name, this.clock, { availabilityZone })
    const tasks = new FleetTasks({
      state,
      store: this._storeOf(state, reach),
      peerClient: this._peerClientOf(name, reach),
      seeds: [],
      propagationBounds: () => propagationBounds,
      clock: this.clock,
      log: new SilentEventLog(),
      onProgress: () => undefined
    })
    const server = new SyncServer(state, name, () => this.clock.now(), () => tasks.distance, () => tasks.isStoreFailing)
    this._routers.set(name, { state, tasks, server, reach })
  }

  private _peerClientOf (name: string, reach: Reach): FleetTasksOptions['peerClient'] {
    const call = async <Answer>(peerCall: PeerCall, answer: (server: SyncServer) => Answer): Promise<Answer> => {
      const timeout = new ProgressTimeout(peerCall.limits)
      try {
        return await this._callPeer(peerCall, reach, timeout, answer)
      } finally {
        timeout.stop()
      }
    }
    return {
      sync: async (to, request) => {
        return await call({ from: name, to, request, limits: SYNC_LIMITS, receiver: undefined }, (server) => server.answer(JSON.parse(JSON.stringify(request))))
      },
      configurationNews: async (to, request) => {
        return await call({ from: name, to, request, limits: SYNC_LIMITS, receiver: undefined }, (server) => server.configurationNews(request))
      },
      configurationUpdate: async (to, fromVersion, receiver?: MessageReceiver) => {
        return await call({ from: name, to, request: fromVersion, limits: TRANSFER_LIMITS, receiver }, (server) => server.configurationUpdate(fromVersion))
      }
    }
  }

  private async _callPeer<Answer> ({ from, to, request, receiver }: PeerCall, reach: Reach, timeout: ProgressTimeout, answer: (server: SyncServer) => Answer): Promise<Answer> {
    const { reach: peerReach, server } = this._find(to)
    const signals = receiver === undefined ? [timeout.signal] : [timeout.signal, receiver.signal]
    const signal = AbortSignal.any(signals)
    const requireReach = async (): Promise<void> => {
      while (!signal.aborted && !(reach.hasPeers && peerReach.hasPeers)) await pause(STEP_MS, signal)
      signal.throwIfAborted()
    }
    const recordProgress = (receivedPart: number): void => {
      if (!reach.hasPeers || !peerReach.hasPeers) return
      timeout.recordProgress()
      receiver?.recordProgress(receivedPart)
    }
    if (this._links === undefined) await pause(PEER_LATENCY_MS)
    else await this._links.send(from, to, JSON.stringify(request), { signal, recordProgress: () => undefined })
    await requireReach()
    const text = JSON.stringify(answer(server))
    await this._links?.send(to, from, text, { signal, recordProgress })
    await requireReach()
    return JSON.parse(text) as Answer
  }

  private _storeOf ({ storeEra, routers }: FleetState, reach: Reach): FleetStore {
    const { store } = this
    const linkTo = <Value>(topic: TopicReader<Value>): TopicReader<Value> => ({
      read: async (position: StorePosition | undefined, waitMs: number, signal: AbortSignal, onProgress: (hasChange: boolean) => void = () => undefined) => {
        reach.storeCalls += 1
        await crossLink(reach, signal)
        const page = await topic.read(position, waitMs, signal)
        await crossLink(reach, signal)
        const recordProgress = (): void => onProgress(!page.isSnapshot && page.changes.length > 0)
        recordProgress()
        await this._links?.send(STORE, routers.self.name, JSON.stringify(page.changes), { signal, recordProgress })
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
  await pause(STORE_LATENCY_MS + reach.storeDelayMs, signal)
  while (!reach.hasStore && !signal.aborted) await pause(STEP_MS, signal)
  signal.throwIfAborted()
}

function entryOf (index: number, revision: number): EndpointEntry {
  return { id: `e${index}`, service: 'app', address: `10.0.0.${index}:1`, availabilityZone: 'z', slots: 16, isDraining: false, startedAt: 1, revision }
}
