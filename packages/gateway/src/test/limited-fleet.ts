import { EndpointHealth } from '@mimosarock/gateway/choice/endpoint-health.js'
import { EndpointPauses } from '@mimosarock/gateway/choice/endpoint-pauses.js'
import { EndpointSelector } from '@mimosarock/gateway/choice/endpoint-selector.js'
import { pause } from '@mimosarock/gateway/membership/pause.js'
import type { EndpointEntry } from '@mimosarock/gateway/model/endpoint-entry.js'
import { mostInWindow } from './most-in-window.js'
import { seededRandom } from './seeded-random.js'
import { SlowFleet } from './slow-fleet.js'

const SERVICE = 'app'
const STEP_MS = 10
const RESPONSE_MS = 50
/** Half of the objective of the service; a request that has waited for so long is refused. */
const MAXIMUM_WAIT_MS = 190
const MS_PER_SECOND = 1_000
const NONE = { excluded: new Set<string>() }
const clock = { now: () => Date.now() }

/** Fleet, its endpoints and the requests that arrive. */
interface Load {
  readonly zones: number
  readonly routersPerZone: number
  readonly endpoints: number
  readonly perSecond: number
}

/** A request that waits for a permit. */
interface Waiting {
  readonly refuseAt: number
}

/** Routers on slow links whose requests go to endpoints with a rate limit; all in simulated time. */
export class LimitedFleet {
  readonly fleet: SlowFleet
  /** Limit that each endpoint states now, by id. */
  readonly limits = new Map<string, number>()
  /** Routers to which no requests come, because they don't run or callers can't reach them. */
  readonly idle = new Set<string>()
  readonly arrivals = new Map<string, number[]>()
  refusals = 0
  /** Fraction of the requests that go to warm endpoints while these have capacity. */
  needsWarmFraction = 0
  private readonly _load: Load
  private readonly _random: () => number
  private readonly _selectors = new Map<string, EndpointSelector>()
  private readonly _waiting = new Map<string, Waiting[]>()

  constructor (load: Load, signal: AbortSignal, seed = 5) {
    this._load = load
    this._random = seededRandom(seed)
    this.fleet = new SlowFleet(load.zones, load.routersPerZone, signal, load.endpoints)
    for (const name of this.fleet.names) {
      this._selectors.set(name, this._createSelector(name))
      this._serveQueue(name)
    }
    this._run(signal).catch(() => undefined)
  }

  /** Sets the limit of the first endpoints; undefined for none. */
  limit (endpointCount: number, perSecond: number | undefined): void {
    for (let index = 0; index < endpointCount; index += 1) {
      if (perSecond === undefined) this.limits.delete(`e${index}`)
      else this.limits.set(`e${index}`, perSecond)
    }
  }

  /** Largest number of requests that reached one of the first endpoints in a span of some time between two moments. */
  most (endpointCount: number, windowMs: number, since: number, until = Infinity): number {
    return Math.max(...Array.from({ length: endpointCount }, (_, index) => {
      return mostInWindow((this.arrivals.get(`e${index}`) ?? []).filter((time) => time >= since && time < until), windowMs)
    }))
  }

  /** Requests a second that reached the first endpoints between two moments, all together. */
  rate (endpointCount: number, from: number, to: number): number {
    const counts = Array.from({ length: endpointCount }, (_, index) => {
      return (this.arrivals.get(`e${index}`) ?? []).filter((time) => time >= from && time < to).length
    })
    return counts.reduce((sum, count) => sum + count, 0) / (to - from) * MS_PER_SECOND
  }

  private _serveQueue (name: string): void {
    this._waiting.set(name, [])
    this.fleet.stateOf(name).permits.setQueues({
      queued: () => this._waiting.get(name)?.length ?? 0,
      permitsArrived: () => this._sendWaiting(name)
    })
  }

  private async _run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await pause(STEP_MS, signal)
      const mean = this._load.perSecond * STEP_MS / MS_PER_SECOND
      const count = Math.floor(mean) + (this._random() < mean % 1 ? 1 : 0)
      for (let number = 0; number < count; number += 1) this._arrive()
      this._refuseOverdue()
    }
  }

  private _arrive (): void {
    const names = this.fleet.names.filter((name) => !this.idle.has(name))
    const name = names[Math.floor(this._random() * names.length)] as string
    const { permits } = this.fleet.stateOf(name)
    permits.countRequest(SERVICE)
    if (this._send(name)) return
    this._waiting.get(name)?.push({ refuseAt: Date.now() + MAXIMUM_WAIT_MS })
    permits.getForWaiting()
  }

  /** Sends a request to a random endpoint that the router may use; returns false if there is none. */
  private _send (name: string): boolean {
    const { permits, limits, loads, warmUps } = this.fleet.stateOf(name)
    const needsWarm = this.needsWarmFraction > 0 && this._random() < this.needsWarmFraction
    const endpoint = this._selectors.get(name)?.choose(SERVICE, [], { ...NONE, needsWarm })?.endpoint
    if (endpoint === undefined) return false
    permits.take(endpoint)
    loads.begin(endpoint.id)
    this._recordArrival(endpoint)
    pause(RESPONSE_MS).then(() => {
      loads.end(endpoint.id)
      limits.record(endpoint, this.limits.get(endpoint.id))
      warmUps.succeeded(endpoint)
    }, () => undefined)
    return true
  }

  private _createSelector (name: string): EndpointSelector {
    const { endpoints, loads, holders, permits, routers, warmUps } = this.fleet.stateOf(name)
    return new EndpointSelector({
      endpoints,
      loads,
      holders,
      permits,
      warmUps,
      health: new EndpointHealth(clock),
      pauses: new EndpointPauses(clock),
      availabilityZone: routers.self.availabilityZone,
      routerCount: () => routers.size,
      random: this._random,
      loadBoundFactor: () => 2,
      isFleetLarge: () => routers.isLarge
    })
  }

  private _recordArrival ({ id }: EndpointEntry): void {
    const times = this.arrivals.get(id) ?? []
    times.push(Date.now())
    this.arrivals.set(id, times)
  }

  private _sendWaiting (name: string): void {
    const waiting = this._waiting.get(name) ?? []
    while (waiting.length > 0 && this._send(name)) waiting.shift()
  }

  private _refuseOverdue (): void {
    const now = Date.now()
    for (const waiting of this._waiting.values()) {
      while (waiting[0] !== undefined && waiting[0].refuseAt <= now) {
        waiting.shift()
        this.refusals += 1
      }
    }
  }
}
