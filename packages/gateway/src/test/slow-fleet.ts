import { gzipSync } from 'node:zlib'
import type { FleetState } from '@mimosarock/gateway/membership/fleet-state.js'
import type { FleetSync } from '@mimosarock/gateway/membership/fleet-sync.js'
import type { EndpointEntry } from '@mimosarock/gateway/model/endpoint-entry.js'
import { OverdueReading } from '@mimosarock/gateway/membership/overdue-reading.js'
import { pause } from '@mimosarock/gateway/membership/pause.js'
import { SyncServer } from '@mimosarock/gateway/membership/sync-server.js'
import type { GatewayConfiguration } from '@mimosarock/gateway/model/gateway-configuration.js'
import { createFleetState } from './create-fleet-state.js'
import { createLargeConfiguration } from './create-large-configuration.js'
import { createSync } from './create-sync.js'
import { STATED_AGE_LIMITS } from './stated-age-limits.js'
import { SimulatedNetwork } from './simulated-network.js'

const FIRST_ROUTES = 250
const DEFAULT_ENDPOINTS = 67
/** Bytes a second that the traffic of callers leaves of the slowest links, which carry 875,000. */
const LINK_BYTES_PER_SECOND = 500_000
const STORE_POLL_MS = 20
const ENDPOINTS_POLL_MS = 750
/** Messages from this length on are compressed. */
const COMPRESSED_BYTES = 4_096
/** Age of the endpoints from which a router reads the store itself. */
const MAXIMUM_AGE_MS = STATED_AGE_LIMITS.endpoints.readMs
const clock = { now: () => Date.now() }

/** Fleet of routers on slow links, with a store that every router can read. */
export class SlowFleet {
  readonly network = new SimulatedNetwork(LINK_BYTES_PER_SECOND)
  readonly versionAt = new Map<string, number[]>()
  readonly goneAt = new Map<string, number>()
  stored: GatewayConfiguration = createLargeConfiguration(1, FIRST_ROUTES)
  isLeaving = false
  /** Returns what the store holds of an endpoint instead of its usual registration; undefined if it is not registered. */
  registrationOf: (usual: EndpointEntry) => EndpointEntry | undefined = (usual) => usual
  /** Evacuated zones in the store, and the offset of its next record. */
  evacuated: readonly string[] = []
  offset = 1
  /** Names of the routers that the store does not serve, and of those that reach no other router. */
  readonly withoutStore = new Set<string>()
  readonly withoutPeers = new Set<string>()
  private readonly _signal: AbortSignal
  private readonly _endpointCount: number
  private readonly _routers = new Map<string, { readonly state: FleetState, readonly sync: FleetSync, readonly server: SyncServer, readonly overdue: OverdueReading }>()
  /** Names of the readers that are reading the configuration. */
  private readonly _reading = new Set<string>()

  constructor (zones: number, routersPerZone: number, signal: AbortSignal, endpointCount = DEFAULT_ENDPOINTS) {
    this._signal = signal
    this._endpointCount = endpointCount
    for (let index = 0; index < zones * routersPerZone; index += 1) this._add(`r${index}`, `z${index % zones}`)
    const tables = [...this._routers.values()].map(({ state }) => state.routers)
    for (const table of tables) for (const { self } of tables) table.recordContact(self, 0)
    this._run().catch(() => undefined)
  }

  /** Names of all routers. */
  get names (): readonly string[] {
    return [...this._routers.keys()]
  }

  /** State of a router. */
  stateOf (name: string): FleetState {
    return this._routers.get(name)?.state as FleetState
  }

  /** Lets a router sync without waiting for its interval. */
  syncSoon (name: string): void {
    this._routers.get(name)?.sync.syncSoon()
  }

  private _add (name: string, availabilityZone: string): void {
    const state = createFleetState(name, clock, { availabilityZone })
    state.configuration.adopt(this.stored, 'store')
    state.configuration.markVerified(clock.now())
    this._readEndpoints(state)
    const isWithoutStore = (): boolean => this.withoutStore.has(name)
    const sync = createSync(state, clock, {
      sync: async (address, request) => await this._call(name, address, request, (server) => server.answer(request)),
      configurationNews: async (address, request) => await this._call(name, address, request, (server) => server.configurationNews(request)),
      transfer: async (address, fromVersion) => {
        return await this._call(name, address, fromVersion, (server) => server.configurationUpdate(fromVersion))
      },
      get isStoreFailing () { return isWithoutStore() }
    })
    const server = new SyncServer(state, name, () => clock.now(), () => sync.isReader && !isWithoutStore() ? 0 : sync.followingDistance)
    const overdue = new OverdueReading({ isReader: () => sync.isReader, isOutageSuspected: () => sync.isOutageSuspected }, clock)
    this._routers.set(name, { state, sync, server, overdue })
    sync.run(this._signal).catch(() => undefined)
  }

  private async _call<Message> (from: string, to: string, request: unknown, answer: (server: SyncServer) => Message): Promise<Message> {
    if (this.withoutPeers.has(from) || this.withoutPeers.has(to)) await this.network.loseMessage()
    await this.network.send(from, to, lengthOf(request))
    const text = JSON.stringify(answer(this._routers.get(to)?.server as SyncServer))
    await this.network.send(to, from, lengthOf(text))
    return JSON.parse(text) as Message
  }

  /** Lets the readers read the store, and notes what each router knows, until the test ends. */
  private async _run (): Promise<void> {
    while (!this._signal.aborted) {
      await pause(STORE_POLL_MS, this._signal)
      for (const [name, { state, sync, overdue }] of this._routers) {
        if ((sync.isReader || overdue.isDue(state.endpointsFreshness.verifiedAt, MAXIMUM_AGE_MS)) && !this.network.isCutOff(name) && !this.withoutStore.has(name)) this._readStore(state).catch(() => undefined)
        this._observe(name, state)
      }
    }
  }

  private async _readStore (state: FleetState): Promise<void> {
    const { name } = state.routers.self
    const readAt = clock.now()
    if (readAt - state.endpointsFreshness.verifiedAt >= ENDPOINTS_POLL_MS) this._readEndpoints(state)
    if (this._reading.has(name)) return
    this._reading.add(name)
    const { stored, offset, evacuated } = this
    if (stored.version > state.configuration.version) await this.network.send('store', name, JSON.stringify(stored).length)
    state.evacuations.recordReading({ offset, zones: evacuated, isSettled: true })
    state.configuration.adopt(stored, 'store')
    state.configuration.markVerified(readAt)
    this._reading.delete(name)
  }

  private _readEndpoints ({ endpoints, endpointsFreshness }: FleetState): void {
    const entries = Array.from({ length: this._endpointCount }, (_, index) => ({
      id: `e${index}`, service: 'app', address: `10.0.0.${index}:1`, availabilityZone: 'z', slots: 16, isDraining: this.isLeaving && index === 0, startedAt: 1, revision: 0
    }))
    endpoints.replace(entries.flatMap((entry) => this.registrationOf(entry) ?? []), undefined)
    endpointsFreshness.verifiedAt = clock.now()
  }

  private _observe (name: string, { configuration, endpoints }: FleetState): void {
    const times = this.versionAt.get(name) ?? []
    times[configuration.version] ??= clock.now()
    this.versionAt.set(name, times)
    if (endpoints.find('e0')?.isDraining === true && !this.goneAt.has(name)) this.goneAt.set(name, clock.now())
  }
}

function lengthOf (message: unknown): number {
  const text = typeof message === 'string' ? message : JSON.stringify(message)
  return text.length < COMPRESSED_BYTES ? text.length : gzipSync(text, { level: 1 }).length
}
