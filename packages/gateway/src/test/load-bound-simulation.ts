import { SilentEventLog } from '@mimosarock/coordination/silent-event-log.js'
import { ChoiceReason } from '@mimosarock/gateway/choice/choice-reason.js'
import { EndpointHealth } from '@mimosarock/gateway/choice/endpoint-health.js'
import { EndpointPauses } from '@mimosarock/gateway/choice/endpoint-pauses.js'
import { EndpointSelector } from '@mimosarock/gateway/choice/endpoint-selector.js'
import { HolderTable } from '@mimosarock/gateway/choice/holder-table.js'
import { LoadView } from '@mimosarock/gateway/choice/load-view.js'
import { EndpointTable } from '@mimosarock/gateway/membership/endpoint-table.js'
import { createPermits } from './create-permits.js'
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
}

/** Result of a simulation, without its first window. */
interface Result {
  /** Requests that were sent to an endpoint above the promised bound, as a fraction, in the worst window and over all. */
  readonly worstFraction: number
  readonly fraction: number
  /** Requests that were sent to an endpoint that had their context, as a fraction. */
  readonly heldFraction: number
  /** Most requests in flight at an endpoint, as a multiple of the mean. */
  readonly peak: number
}

/** Routers that choose endpoints for requests that share contexts, by load reports of a certain age. */
class LoadBoundSimulation {
  private readonly _load: Load
  private readonly _random: () => number
  private readonly _holders = new HolderTable()
  private readonly _routers: readonly { readonly loads: LoadView, readonly selector: EndpointSelector, readonly reportsAt: number }[]
  private readonly _inFlight: number[]
  private readonly _ends = new Map<number, (() => void)[]>()
  private readonly _history: Record<string, number>[][] = []
  private readonly _sent: number[] = []
  private readonly _sentAbove: number[] = []
  private _step = 0
  private _total = 0
  private _held = 0
  private _peak = 0

  constructor (load: Load) {
    this._load = load
    this._random = seededRandom(load.seed)
    this._inFlight = Array.from({ length: load.endpoints }, () => 0)
    for (const { keys } of load.kinds) this._spreadContexts(keys)
    this._routers = Array.from({ length: load.routers }, (_, index) => this._createRouter(ZONES[index % ZONES.length] as string))
  }

  run (): Result {
    const steps = this._load.seconds * MS_PER_SECOND / STEP_MS
    for (this._step = 0; this._step < steps; this._step += 1) {
      for (const end of this._ends.get(this._step) ?? []) end()
      this._ends.delete(this._step)
      this._report()
      this._sent.push(0)
      this._sentAbove.push(0)
      for (const kind of this._load.kinds) this._arrive(kind)
    }
    const [sent, above] = [this._sent.slice(WINDOW_STEPS), this._sentAbove.slice(WINDOW_STEPS)]
    const ofWindow = (counts: readonly number[], start: number): number => sumOf(counts.slice(start, start + WINDOW_STEPS))
    const windows = Array.from({ length: sent.length - WINDOW_STEPS }, (_, start) => ofWindow(above, start) / ofWindow(sent, start))
    return { worstFraction: Math.max(...windows), fraction: sumOf(above) / sumOf(sent), heldFraction: this._held / sumOf(sent), peak: this._peak }
  }

  private get _now (): number {
    return this._step * STEP_MS
  }

  private _createRouter (availabilityZone: string): { loads: LoadView, selector: EndpointSelector, reportsAt: number } {
    const clock = { now: () => this._now }
    const endpoints = new EndpointTable(clock, new SilentEventLog())
    endpoints.apply(Array.from({ length: this._load.endpoints }, (_, index) => ({
      key: `e${index}`,
      value: { id: `e${index}`, service: SERVICE, address: `e${index}:1`, availabilityZone: ZONES[index % ZONES.length] as string, slots: this._load.slots, isDraining: false, startedAt: 1, revision: 1 }
    })), undefined)
    const loads = new LoadView(clock.now)
    const selector = new EndpointSelector({
      endpoints,
      loads,
      holders: this._holders,
      health: new EndpointHealth(clock),
      pauses: new EndpointPauses(clock),
      permits: createPermits(endpoints, clock),
      availabilityZone,
      isFleetLarge: () => true,
      loadBoundFactor: () => BOUND_FACTOR,
      routerCount: () => this._load.routers,
      random: this._random
    })
    return { loads, selector, reportsAt: Math.floor(this._random() * this._load.reportIntervalMs / STEP_MS) * STEP_MS }
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
      const own = past[index] ?? {}
      loads.reportFleet(Object.fromEntries(Object.entries(totals).map(([id, count]) => [id, count - (own[id] ?? 0)])), undefined)
    }
  }

  private _arrive (kind: RequestKind): void {
    const batches = kind.perSecond * STEP_MS / MS_PER_SECOND / this._load.batchSize
    const count = (Math.floor(batches) + (this._random() < batches % 1 ? 1 : 0)) * this._load.batchSize
    for (let number = 0; number < count; number += 1) this._send(kind)
  }

  private _send ({ keys, meanMs }: RequestKind): void {
    const { loads, selector } = this._routers[Math.floor(this._random() * this._routers.length)] as LoadBoundSimulation['_routers'][number]
    const key = keyOf(keys, this._drawRank(keys))
    const chosen = selector.choose(SERVICE, [{ id: key, tokens: 1_000 }, { id: 'ff', tokens: 10 }], { excluded: new Set() })
    if (chosen === undefined) throw new Error('no endpoint')
    const { id } = chosen.endpoint
    this._record(Number(id.slice(1)), chosen.reason === ChoiceReason.HOLDER || chosen.isChosenAsPrimary)
    this._holders.add(key, id)
    loads.begin(id)
    const durationMs = -meanMs * Math.log(1 - this._random())
    const endsAt = this._step + Math.max(1, Math.round(durationMs / STEP_MS))
    this._ends.set(endsAt, [...this._ends.get(endsAt) ?? [], () => this._end(loads, id)])
  }

  /** Draws a key by its rank. The k-th of those that are not hot has a part in proportion to k to the power of -skew. */
  private _drawRank (keys: number): number {
    if (this._random() < this._load.hotFraction) return 0
    return Math.floor(keys * this._random() ** (1 / (1 - this._load.skew)))
  }

  private _record (endpoint: number, isHeld: boolean): void {
    const mean = this._total / this._load.endpoints
    const before = this._inFlight[endpoint] as number
    this._inFlight[endpoint] = before + 1
    this._total += 1
    this._sent[this._step] = (this._sent[this._step] as number) + 1
    if (before > BOUND_FACTOR * mean + BOUND_SLACK_REQUESTS) this._sentAbove[this._step] = (this._sentAbove[this._step] as number) + 1
    if (this._step < WINDOW_STEPS) return
    if (isHeld) this._held += 1
    this._peak = Math.max(this._peak, before / mean)
  }

  private _end (loads: LoadView, id: string): void {
    loads.end(id)
    this._inFlight[Number(id.slice(1))] = (this._inFlight[Number(id.slice(1))] as number) - 1
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
