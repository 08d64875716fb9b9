import { EndpointHealth } from '@mimosarock/gateway/choice/endpoint-health.js'
import { EndpointPauses } from '@mimosarock/gateway/choice/endpoint-pauses.js'
import { EndpointSelector } from '@mimosarock/gateway/choice/endpoint-selector.js'
import { pause } from '@mimosarock/gateway/membership/pause.js'
import { vi } from 'vitest'
import { seededRandom } from './seeded-random.js'
import { SlowFleet } from './slow-fleet.js'

const SERVICE = 'app'
const STARTED_AT = 1_000_000_000_000
const STEP_MS = 10
const RESPONSE_MS = 40
const MS_PER_SECOND = 1_000
const clock = { now: () => Date.now() }

/** Fleet, its endpoints and the requests that arrive. */
interface Load {
  readonly zones: number
  readonly routersPerZone: number
  readonly endpoints: number
  readonly perSecond: number
  /** False to never eject endpoints. */
  readonly isEnabled?: boolean
}

/** Routers whose endpoints fail a part of their requests; reports between them are delayed and lost. All in simulated time. */
export class OutlierFleet {
  readonly fleet: SlowFleet
  /** Part of its requests that each endpoint fails now, by id. */
  readonly failureRates = new Map<string, number>()
  /** Routers to which no requests come. */
  readonly idle = new Set<string>()
  failures = 0
  requests = 0
  /** Largest number of endpoints that a router left out although they were sound all the time. */
  mostSoundEjected = 0
  private _groups: readonly (readonly string[])[] = []
  private readonly _load: Load
  private readonly _random: () => number
  private readonly _failureRandom: () => number
  private readonly _failed = new Set<string>()
  private readonly _selectors = new Map<string, EndpointSelector>()

  constructor (load: Load, signal: AbortSignal, seed = 7) {
    // The time divides the answers into windows, so it has to be the same in each run.
    vi.setSystemTime(STARTED_AT)
    this._load = load
    this._random = seededRandom(seed)
    this._failureRandom = seededRandom(seed * 1_000 + 1)
    this.fleet = new SlowFleet(load.zones, load.routersPerZone, signal, load.endpoints)
    this.fleet.network.impair(() => this._random() < 0.02, () => this._random() * 100)
    for (const name of this.fleet.names) this._selectors.set(name, this._createSelector(name))
    this._run(signal).catch(() => undefined)
  }

  /** Lets the first endpoints fail a part of their requests, which are counted from now on. */
  fail (endpointCount: number, rate: number): void {
    this.failures = 0
    this.requests = 0
    for (let index = 0; index < endpointCount; index += 1) {
      this.failureRates.set(`e${index}`, rate)
      if (rate > 0) this._failed.add(`e${index}`)
    }
  }

  /** Splits the routers into two groups. Those of a group know each other, as the store announces them. */
  split (group: readonly string[]): void {
    this._groups = [group, this.fleet.names.filter((name) => !group.includes(name))]
    this.fleet.network.split(group)
  }

  /** Ends the split. */
  heal (): void {
    this._groups = []
    this.fleet.network.heal()
  }

  /** Name of the router that sums the reports, by the order of a router. */
  summingRouter (name: string): string {
    return this.fleet.stateOf(name).routers.inReaderOrder()[0]?.name as string
  }

  private async _run (signal: AbortSignal): Promise<void> {
    for (let step = 0; !signal.aborted; step += 1) {
      await pause(STEP_MS, signal)
      const mean = this._load.perSecond * STEP_MS / MS_PER_SECOND
      const count = Math.floor(mean) + (this._random() < mean % 1 ? 1 : 0)
      const names = this.fleet.names.filter((name) => !this.idle.has(name))
      for (let number = 0; number < count; number += 1) this._arrive(names[Math.floor(this._random() * names.length)] as string)
      if (step % 25 === 0) this._observe(names)
      if (step % 100 === 0) this._announce()
    }
  }

  private _arrive (name: string): void {
    const { loads, outliers } = this.fleet.stateOf(name)
    const endpoint = this._selectors.get(name)?.choose(SERVICE, [], { excluded: new Set() })?.endpoint
    if (endpoint === undefined) throw new Error('no endpoint')
    loads.begin(endpoint.id)
    pause(RESPONSE_MS).then(() => {
      loads.end(endpoint.id)
      const isFailure = this._failureRandom() < (this.failureRates.get(endpoint.id) ?? 0)
      this.requests += 1
      if (isFailure) this.failures += 1
      outliers.record(endpoint, isFailure)
    }, () => undefined)
  }

  private _observe (names: readonly string[]): void {
    const sound = Array.from({ length: this._load.endpoints }, (_, index) => `e${index}`).filter((id) => !this._failed.has(id))
    for (const name of names) {
      const { outliers } = this.fleet.stateOf(name)
      this.mostSoundEjected = Math.max(this.mostSoundEjected, sound.filter((id) => outliers.isEjected(id)).length)
    }
  }

  private _announce (): void {
    for (const group of this._groups) {
      const tables = group.map((name) => this.fleet.stateOf(name).routers)
      for (const table of tables) for (const { self } of tables) table.recordContact(self, 0)
    }
  }

  private _createSelector (name: string): EndpointSelector {
    const { endpoints, loads, holders, outliers, permits, routers } = this.fleet.stateOf(name)
    outliers.enableWhile(() => this._load.isEnabled !== false)
    return new EndpointSelector({
      endpoints,
      loads,
      holders,
      permits,
      outliers,
      health: new EndpointHealth(clock, undefined, (id) => outliers.isEjected(id)),
      pauses: new EndpointPauses(clock),
      availabilityZone: routers.self.availabilityZone,
      routerCount: () => routers.size,
      random: this._random,
      loadBoundFactor: () => 2,
      isFleetLarge: () => routers.isLarge
    })
  }
}
