import { SilentEventLog } from '@mimosarock/coordination/silent-event-log.js'
import { ChoiceReason } from '@mimosarock/gateway/choice/choice-reason.js'
import { EndpointHealth } from '@mimosarock/gateway/choice/endpoint-health.js'
import { EndpointPauses } from '@mimosarock/gateway/choice/endpoint-pauses.js'
import { EndpointSelector } from '@mimosarock/gateway/choice/endpoint-selector.js'
import { HolderTable } from '@mimosarock/gateway/choice/holder-table.js'
import { LoadView } from '@mimosarock/gateway/choice/load-view.js'
import { EndpointTable } from '@mimosarock/gateway/membership/endpoint-table.js'
import type { EndpointEntry } from '@mimosarock/gateway/model/endpoint-entry.js'
import { createPermits } from './create-permits.js'
import type { LoadBoundEvent } from './load-bound-event.js'
import type { LoadBoundEventKind } from './load-bound-event-kind.js'
import { seededRandom } from './seeded-random.js'

const SERVICE = 's'
const ZONES = ['a', 'b', 'c']
const STEP_MS = 10
const KEYS_PER_KIND = 10_000
const MS_PER_SECOND = 1_000
/** Promised bound: requests in flight at an endpoint that is sent one, as a multiple of the mean and in addition to it. */
const BOUND_FACTOR = 2
const BOUND_SLACK_REQUESTS = 3
/** Span over which the promise is judged. */
const WINDOW_STEPS = 500
/** Time after which a router that has started, or was cut off, is in touch again. */
const CONTACT_STEPS = 400

/** Requests of one kind. */
interface RequestKind {
  readonly perSecond: number
  readonly meanMs: number
  readonly keys: number
}

/** Fleet, its endpoints and the requests that arrive. */
interface Load {
  readonly routers: number
  readonly endpoints: number
  readonly slots: number
  readonly kinds: readonly RequestKind[]
  /** Exponent by which the keys of a kind differ in their part of its requests. */
  readonly skew: number
  readonly reportIntervalMs: number
  /** Age of the loads in a report when it arrives. */
  readonly reportAgeMs: number
  /** Number of requests that arrive at the same moment. */
  readonly batchSize: number
  /** Endpoints that have joined lately and hold no contexts. */
  readonly newEndpoints: number
  /** Part of the requests of each kind that have the same key. */
  readonly hotFraction: number
  readonly seconds: number
  readonly seed: number
  /** What happens; nothing by default. */
  readonly events?: readonly LoadBoundEvent[]
}

/** A router with its view of the loads. */
interface SimulatedRouter {
  readonly index: number
  readonly availabilityZone: string
  readonly endpoints: EndpointTable
  readonly reportsAt: number
  loads: LoadView
  selector: EndpointSelector
  /** Step from which on its requests are judged. */
  inTouchFrom: number
}

/** A request in flight. */
interface SimulatedRequest {
  readonly router: SimulatedRouter
  readonly loads: LoadView
  readonly endpoint: number
  hasEnded: boolean
}

/** Result of a simulation, without its first window. */
interface Result {
  /** Requests that were sent to an endpoint above the promised bound, as a fraction, in the worst window and over all. */
  readonly worstFraction: number
  readonly fraction: number
  /** Requests that were sent to an endpoint that had their context, as a fraction. */
  readonly heldFraction: number
}

/** Routers that choose endpoints for requests that share contexts, by load reports of a certain age. */
class LoadBoundSimulation {
  private readonly _load: Load
  private readonly _random: () => number
  private readonly _holders = new HolderTable()
  private readonly _routers: readonly SimulatedRouter[]
  private readonly _inFlight: number[]
  private readonly _ends = new Map<number, SimulatedRequest[]>()
  /** Endpoints that are up; those that have left or crashed are not. */
  private readonly _up: boolean[]
  /** Steps in which endpoints were disturbed, which are not judged. */
  private readonly _disturbed = new Set<number>()
  private _evacuationRevision = 0
  private readonly _history: Record<string, number>[][] = []
  private readonly _sent: number[] = []
  private readonly _sentAbove: number[] = []
  private _step = 0
  private _total = 0
  private _held = 0

  constructor (load: Load) {
    this._load = load
    this._random = seededRandom(load.seed)
    this._inFlight = Array.from({ length: load.endpoints }, () => 0)
    for (const { keys } of load.kinds) this._spreadContexts(keys)
    this._up = Array.from({ length: load.endpoints }, () => true)
    this._routers = Array.from({ length: load.routers }, (_, index) => this._createRouter(index))
  }

  run (): Result {
    const steps = this._load.seconds * MS_PER_SECOND / STEP_MS
    for (this._step = 0; this._step < steps; this._step += 1) {
      for (const request of this._ends.get(this._step) ?? []) this._end(request)
      this._ends.delete(this._step)
      this._applyEvents()
      this._report()
      this._sent.push(0)
      this._sentAbove.push(0)
      for (const kind of this._load.kinds) this._arrive(kind)
    }
    const [sent, above] = [this._sent.slice(WINDOW_STEPS), this._sentAbove.slice(WINDOW_STEPS)]
    const ofWindow = (counts: readonly number[], start: number): number => sumOf(counts.slice(start, start + WINDOW_STEPS))
    const isCalm = (start: number): boolean => ![...this._disturbed].some((step) => step >= start + WINDOW_STEPS && step < start + 2 * WINDOW_STEPS)
    const starts = Array.from({ length: sent.length - WINDOW_STEPS }, (_, start) => start).filter(isCalm)
    const windows = starts.map((start) => ofWindow(above, start) / Math.max(1, ofWindow(sent, start)))
    return { worstFraction: Math.max(...windows), fraction: sumOf(above) / sumOf(sent), heldFraction: this._held / sumOf(sent) }
  }

  private get _now (): number {
    return this._step * STEP_MS
  }

  private _createRouter (index: number): SimulatedRouter {
    const clock = { now: () => this._now }
    const evacuations = {
      includes: (zone: string) => zone === ZONES[0] && this._isOn('a zone is evacuated'),
      revisionOf: () => this._evacuationRevision,
      get revision (): number { return this.revisionOf() }
    }
    const endpoints = new EndpointTable(clock, new SilentEventLog(), evacuations)
    const availabilityZone = ZONES[index % ZONES.length] as string
    const reportsAt = Math.floor(this._random() * this._load.reportIntervalMs / STEP_MS) * STEP_MS
    endpoints.apply(this._inFlight.map((_, endpoint) => ({ key: `e${endpoint}`, value: this._entryOf(endpoint, 1) })), undefined)
    const loads = new LoadView(clock.now)
    const selector = this._createSelector(endpoints, loads, availabilityZone)
    return { index, availabilityZone, endpoints, reportsAt, loads, selector, inTouchFrom: 0 }
  }

  private _entryOf (endpoint: number, startedAt: number): EndpointEntry {
    const availabilityZone = ZONES[endpoint % ZONES.length] as string
    return { id: `e${endpoint}`, service: SERVICE, address: `e${endpoint}:1`, availabilityZone, slots: this._load.slots, isDraining: false, startedAt, revision: 1 }
  }

  private _createSelector (endpoints: EndpointTable, loads: LoadView, availabilityZone: string): EndpointSelector {
    const clock = { now: () => this._now }
    const isEjected = (id: string): boolean => this._isOn('endpoints are ejected') && this._isAffected(Number(id.slice(1)), 'endpoints are ejected')
    return new EndpointSelector({
      endpoints,
      loads,
      holders: this._holders,
      health: new EndpointHealth(clock, undefined, isEjected),
      pauses: new EndpointPauses(clock),
      permits: createPermits(endpoints, clock),
      availabilityZone,
      isFleetLarge: () => true,
      loadBoundFactor: () => BOUND_FACTOR,
      routerCount: () => this._load.routers,
      random: this._random
    })
  }

  private _eventOf (kind: LoadBoundEventKind): LoadBoundEvent | undefined {
    return this._load.events?.find((event) => event.kind === kind)
  }

  private _isOn (kind: LoadBoundEventKind): boolean {
    const event = this._eventOf(kind)
    return event !== undefined && this._now >= event.fromS * MS_PER_SECOND && this._now < event.untilS * MS_PER_SECOND
  }

  /** Whether a router or an endpoint is among those to which an event happens: those with the highest numbers. */
  private _isAffected (index: number, kind: LoadBoundEventKind): boolean {
    const count = kind.startsWith('routers') ? this._load.routers : this._load.endpoints
    return index >= count * (1 - (this._eventOf(kind)?.share ?? 0))
  }

  private _applyEvents (): void {
    for (const { kind, fromS, untilS } of this._load.events ?? []) {
      if (this._now === fromS * MS_PER_SECOND) this._begin(kind)
      if (this._now === untilS * MS_PER_SECOND) this._finish(kind)
    }
    if (this._isOn('endpoints crash and return') || this._isOn('endpoints are ejected')) this._disturbed.add(this._step)
    if (this._isOn('routers are cut off')) this._setOutOfTouch('routers are cut off')
  }

  private _begin (kind: LoadBoundEventKind): void {
    this._evacuationRevision += 1
    if (kind === 'routers start') this._startRouters()
    if (kind === 'endpoints crash and return' || kind === 'endpoints leave') this._removeEndpoints(kind)
  }

  private _finish (kind: LoadBoundEventKind): void {
    this._evacuationRevision += 1
    if (kind !== 'endpoints crash and return') return
    for (const endpoint of this._inFlight.keys()) {
      if (!this._isAffected(endpoint, kind)) continue
      this._up[endpoint] = true
      for (const { endpoints } of this._routers) endpoints.apply([{ key: `e${endpoint}`, value: this._entryOf(endpoint, 2) }], undefined)
    }
  }

  private _startRouters (): void {
    this._setOutOfTouch('routers start')
    for (const router of this._routers) {
      if (!this._isAffected(router.index, 'routers start')) continue
      this._endWhere((request) => request.router === router)
      router.loads = new LoadView(() => this._now)
      router.selector = this._createSelector(router.endpoints, router.loads, router.availabilityZone)
    }
  }

  private _setOutOfTouch (kind: LoadBoundEventKind): void {
    for (const router of this._routers) if (this._isAffected(router.index, kind)) router.inTouchFrom = this._step + CONTACT_STEPS
  }

  private _removeEndpoints (kind: LoadBoundEventKind): void {
    for (const endpoint of this._inFlight.keys()) {
      if (!this._isAffected(endpoint, kind)) continue
      this._up[endpoint] = false
      this._holders.removeEndpoint(`e${endpoint}`)
      if (kind === 'endpoints crash and return') this._endWhere((request) => request.endpoint === endpoint)
      for (const { endpoints } of this._routers) endpoints.apply([{ key: `e${endpoint}`, value: undefined }], undefined)
    }
  }

  private _endWhere (condition: (request: SimulatedRequest) => boolean): void {
    for (const requests of this._ends.values()) for (const request of requests) if (condition(request)) this._end(request)
  }

  private _spreadContexts (keys: number): void {
    const { endpoints, newEndpoints } = this._load
    for (let rank = 0; rank < keys; rank += 1) {
      this._holders.learn(keyOf(keys, rank), `e${newEndpoints + Math.floor(this._random() * (endpoints - newEndpoints))}`)
    }
  }

  /** Lets each router learn, at moments of its own, what the others had in flight some time ago. */
  private _report (): void {
    this._history.push(this._routers.map(({ loads }) => loads.localLoads()))
    const past = this._history[Math.max(0, this._step - this._load.reportAgeMs / STEP_MS)] as Record<string, number>[]
    const totals: Record<string, number> = {}
    for (const local of past) for (const [id, count] of Object.entries(local)) totals[id] = (totals[id] ?? 0) + count
    for (const [index, { loads, reportsAt }] of this._routers.entries()) {
      if (this._now % this._load.reportIntervalMs !== reportsAt) continue
      if (this._isOn('routers are cut off') && this._isAffected(index, 'routers are cut off')) continue
      const own = past[index] ?? {}
      loads.reportFleet(Object.fromEntries(Object.entries(totals).map(([id, count]) => [id, count - (own[id] ?? 0)])), undefined)
    }
  }

  private _arrive (kind: RequestKind): void {
    const multiple = this._isOn('burst') ? this._eventOf('burst')?.share ?? 1 : 1
    const batches = multiple * kind.perSecond * STEP_MS / MS_PER_SECOND / this._load.batchSize
    const count = (Math.floor(batches) + (this._random() < batches % 1 ? 1 : 0)) * this._load.batchSize
    for (let number = 0; number < count; number += 1) this._send(kind)
  }

  private _send ({ keys, meanMs }: RequestKind): void {
    const router = this._routers[Math.floor(this._random() * this._routers.length)] as SimulatedRouter
    const key = keyOf(keys, this._drawRank(keys))
    const chosen = router.selector.choose(SERVICE, [{ id: key, tokens: 1_000 }, { id: 'ff', tokens: 10 }], { excluded: new Set() })
    if (chosen === undefined) throw new Error('no endpoint')
    const { id } = chosen.endpoint
    const endpoint = Number(id.slice(1))
    this._record(router, endpoint, chosen.reason === ChoiceReason.HOLDER || chosen.isChosenAsPrimary)
    this._holders.add(key, id)
    router.loads.begin(id)
    const durationMs = -meanMs * Math.log(1 - this._random())
    const endsAt = this._step + Math.max(1, Math.round(durationMs / STEP_MS))
    this._ends.set(endsAt, [...this._ends.get(endsAt) ?? [], { router, loads: router.loads, endpoint, hasEnded: false }])
  }

  /** Draws a key by its rank. The k-th of those that are not hot has a part in proportion to k to the power of -skew. */
  private _drawRank (keys: number): number {
    if (this._random() < this._load.hotFraction) return 0
    return Math.floor(keys * this._random() ** (1 / (1 - this._load.skew)))
  }

  private _record (router: SimulatedRouter, endpoint: number, isHeld: boolean): void {
    const mean = this._total / this._up.filter((isUp) => isUp).length
    const before = this._inFlight[endpoint] as number
    this._inFlight[endpoint] = before + 1
    this._total += 1
    if (this._step >= WINDOW_STEPS && isHeld) this._held += 1
    this._sent[this._step] = (this._sent[this._step] as number) + 1
    if (this._step < router.inTouchFrom) return
    if (before > BOUND_FACTOR * mean + BOUND_SLACK_REQUESTS) this._sentAbove[this._step] = (this._sentAbove[this._step] as number) + 1
  }

  private _end (request: SimulatedRequest): void {
    if (request.hasEnded) return
    const { loads, endpoint } = request
    request.hasEnded = true
    loads.end(`e${endpoint}`)
    this._inFlight[endpoint] = (this._inFlight[endpoint] as number) - 1
    this._total -= 1
  }
}

/**
 * Simulates routers that share endpoints and send them requests whose contexts endpoints hold.
 * @param load load to simulate
 */
export function simulateLoadBound (load: Load): Result {
  return new LoadBoundSimulation(load).run()
}

/** Kinds of requests have different numbers of keys, so the number tells their keys apart. */
function keyOf (keys: number, rank: number): string {
  return (keys * KEYS_PER_KIND + rank).toString(16)
}

function sumOf (numbers: readonly number[]): number {
  return numbers.reduce((sum, number) => sum + number, 0)
}
