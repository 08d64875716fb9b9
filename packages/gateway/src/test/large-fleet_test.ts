import { setTimeout as sleep } from 'node:timers/promises'
import { afterEach, test } from 'vitest'
import type { FleetState } from '@mimosarock/gateway/membership/fleet-state.js'
import type { FleetSync } from '@mimosarock/gateway/membership/fleet-sync.js'
import { SyncServer } from '@mimosarock/gateway/membership/sync-server.js'
import { createFleetState } from './create-fleet-state.js'
import { createSync } from './create-sync.js'

const ROUTERS = 96
const ZONES = 6
const ENDPOINT = { id: 'e1', service: 's', address: '10.0.0.1:1', availabilityZone: 'z0', slots: 64, isDraining: false, startedAt: 1, revision: 0 }
const clock = { now: () => performance.now() + 100_000 }
const abortController = new AbortController()

afterEach(() => abortController.abort())

/** Fleet whose routers call each other in memory; the test supplies the content of the store. */
class Fleet {
  readonly routers = new Map<string, { state: FleetState, server: SyncServer, sync: FleetSync }>()
  readonly dead = new Set<string>()
  /** Names of the routers that queried each router, since the last reset. */
  readonly queries = new Map<string, Set<string>>()
  version = 1

  constructor () {
    for (let index = 0; index < ROUTERS; index += 1) this._add(`r${index}`, `z${index % ZONES}`)
    for (const { sync } of this.routers.values()) sync.run(abortController.signal).catch(() => undefined)
    this._readStore().catch(() => undefined)
  }

  get live (): FleetState[] {
    return [...this.routers].filter(([name]) => !this.dead.has(name)).map(([, { state }]) => state)
  }

  get readers (): string[] {
    return [...this.routers].filter(([name, { sync }]) => !this.dead.has(name) && sync.isReader).map(([name]) => name)
  }

  private _add (name: string, availabilityZone: string): void {
    const state = createFleetState(name, clock, { availabilityZone })
    for (let index = 0; index < ROUTERS; index += 1) {
      state.routers.recordContact({ name: `r${index}`, availabilityZone: `z${index % ZONES}`, address: `r${index}` }, 0)
    }
    const isCut = (address: string): boolean => this.dead.has(address) || this.dead.has(name)
    const sync = createSync(state, clock, {
      sync: async (address, request) => {
        if (isCut(address)) throw new Error('no answer')
        this.queries.set(address, (this.queries.get(address) ?? new Set()).add(name))
        return JSON.parse(JSON.stringify(this.routers.get(address)?.server.answer(JSON.parse(JSON.stringify(request)))))
      },
      configurationNews: async (address, request) => {
        if (isCut(address)) throw new Error('no answer')
        return JSON.parse(JSON.stringify(this.routers.get(address)?.server.configurationNews(JSON.parse(JSON.stringify(request)))))
      },
      transfer: async (address, fromVersion) => {
        if (isCut(address)) throw new Error('no answer')
        return JSON.parse(JSON.stringify(this.routers.get(address)?.server.configurationUpdate(fromVersion)))
      },
      isStoreFailing: false
    })
    const server = new SyncServer(state, name, () => clock.now(), () => {
      return sync.isReader && state.configuration.version > 0 ? 0 : sync.followingDistance
    })
    this.routers.set(name, { state, server, sync })
  }

  /** Supplies the readers with the content of the store until the test ends. */
  private async _readStore (): Promise<void> {
    while (!abortController.signal.aborted) {
      for (const name of this.readers) {
        const { state } = this.routers.get(name) as { state: FleetState }
        state.configuration.adopt({ version: this.version, routes: [], services: [], limits: undefined, workspaces: undefined }, 'store')
        state.configuration.markVerified(clock.now())
        state.endpoints.replace([ENDPOINT], undefined)
        state.endpointsFreshness.verifiedAt = clock.now()
      }
      await sleep(100)
    }
  }
}

async function until (condition: () => boolean): Promise<void> {
  while (!condition()) await sleep(20)
}

test('a large fleet: one router of each zone queries the reader; configuration, loads and holders reach all routers, even after the reader and one of the zone routers have died', async () => {
  const fleet = new Fleet()
  const allHaveConfiguration = (): boolean => fleet.live.every(({ configuration }) => configuration.version === fleet.version)
  const allHaveLoads = (): boolean => fleet.live.every(({ loads }) => loads.total('e1') === fleet.live.length)
  const allHaveHolder = (key: string): boolean => fleet.live.every(({ holders }) => holders.holders(key).includes('e1'))
  for (const { loads } of fleet.live) loads.begin('e1')
  await until(() => fleet.readers.length === 1 && allHaveConfiguration())
  await until(allHaveLoads)
  fleet.routers.get('r50')?.state.holders.add('a1', 'e1')
  await until(() => allHaveHolder('a1'))

  const [reader] = fleet.readers as [string]
  const queryingRouters = (): number => fleet.queries.get(reader)?.size ?? 0
  // The reader is queried by one router of each zone and by all routers of its own zone. At first other routers may query
  // it too, until they know which router of their zone relays the changes.
  do {
    fleet.queries.clear()
    await sleep(1_500)
  } while (queryingRouters() === 0 || queryingRouters() > ZONES + ROUTERS / ZONES)

  const zoneRouter = [...fleet.queries.get(reader) as Set<string>].find((name) => (fleet.queries.get(name)?.size ?? 0) > 3) as string
  fleet.dead.add(reader).add(zoneRouter)
  fleet.version = 2
  await until(() => fleet.readers.length === 1 && allHaveConfiguration())
  await until(allHaveLoads)
  fleet.live.at(-1)?.holders.add('b2', 'e1')
  await until(() => allHaveHolder('b2'))
}, 60_000)
