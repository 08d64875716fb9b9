import { SilentEventLog } from '@mimosarock/coordination/silent-event-log.js'
import type { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { AdmissionPaths } from '@mimosarock/gateway/caller/admission-paths.js'
import type { AuthorizedRequest } from '@mimosarock/gateway/caller/authorized-request.js'
import { ChoiceReason } from '@mimosarock/gateway/choice/choice-reason.js'
import { EndpointTable } from '@mimosarock/gateway/membership/endpoint-table.js'
import { CallOutcome } from '@mimosarock/gateway/sending/call-outcome.js'
import { SteppedClock } from '../../../router/src/test/stepped-clock.js'
import { seededRandom } from './seeded-random.js'
import { SimulatedSlotEndpoint } from './simulated-slot-endpoint.js'
import { SimulatedSlotRouter } from './simulated-slot-router.js'
import type { SlotLoad } from './slot-load.js'

const SERVICE = 's'
const REPORT_INTERVAL_MS = 250
const DEFAULT_LOSS = 0.0015
const RECONNECT_MS = 50
const SWEEP_MS = 20
const TIMEOUT_MS = 2_000

/** A finished request. */
interface Finished {
  readonly at: number
  readonly elapsedMs: number
  readonly workspace: string
  readonly isAnswered: boolean
  readonly isGranted: boolean
}

/** Routers in front of three endpoints of six slots, with messages that take some milliseconds and are lost now and then. */
export class SlotFleetSimulation {
  readonly clock = new SteppedClock()
  readonly random = seededRandom(11)
  readonly endpointTable = new EndpointTable(this.clock, new SilentEventLog())
  readonly endpoints: readonly SimulatedSlotEndpoint[]
  readonly routers: SimulatedSlotRouter[] = []
  readonly finished: Finished[] = []
  /** Number of requests that an owner refused although it had granted fewer slots than there are, less those in use without a grant. */
  refusedWhileFree = 0
  /** Fraction of the messages that arrive 200 ms late. */
  loss: number
  /** Number of requests in flight without a grant. */
  withoutGrant = 0
  /** Whether routers that were killed are no longer listed as live. */
  forgetsKilled = false
  private readonly _cuts = new Set<SimulatedSlotRouter>()
  private readonly _load: SlotLoad
  private readonly _granted = new Map<string, number>()
  private readonly _grantedSamples: { at: number, count: number }[] = []
  private _unfinished = 0

  /** @param load load to simulate */
  constructor (load: SlotLoad) {
    this._load = load
    this.loss = load.loss ?? DEFAULT_LOSS
    const lognormal = (): number => 36 * Math.exp(0.12 * Math.sqrt(-2 * Math.log(1 - this.random())) * Math.cos(2 * Math.PI * this.random()))
    this.endpoints = [0, 1, 2].map((index) => new SimulatedSlotEndpoint(`e${index}`, 6, this.clock, lognormal, () => load.slowdown?.(index, this.clock.now()) ?? 1))
    for (const index of this.endpoints.keys()) this._register(index, 1)
    for (let index = 0; index < load.routers; index += 1) this.routers.push(new SimulatedSlotRouter(this, index, load))
  }

  /** The router that owns the slots according to the first router that is neither killed nor frozen. */
  get owner (): SimulatedSlotRouter {
    const name = this.routers.find(({ isKilled, isFrozen }) => !isKilled && !isFrozen)?.ownership.ownerOf(SERVICE)?.name
    return this.routers.find(({ entry }) => entry.name === name) as SimulatedSlotRouter
  }

  /** Number of slots of all endpoints that are registered. */
  get slots (): number {
    return this.endpointTable.ready(SERVICE).reduce((sum, { slots }) => sum + slots, 0)
  }

  /** Number of requests that have neither been answered nor refused. */
  get unfinished (): number {
    return this._unfinished
  }

  /** Most requests with a grant at one endpoint. */
  get maximumGranted (): number {
    return this.maximumGrantedFrom(0)
  }

  /** Most requests with a grant at one endpoint from a moment on. */
  maximumGrantedFrom (from: number): number {
    return Math.max(...this._grantedSamples.filter(({ at }) => at >= from).map(({ count }) => count))
  }

  /** Ends an endpoint, whose registration is removed 200 ms later. */
  removeEndpoint (index: number): void {
    const { id } = this.endpoints[index] as SimulatedSlotEndpoint
    (this.endpoints[index] as SimulatedSlotEndpoint).isGone = true
    this.clock.sleep(200).then(() => this.endpointTable.apply([{ key: id, value: undefined }], undefined), () => undefined)
  }

  /** Starts an endpoint again, as a new incarnation. */
  restartEndpoint (index: number): void {
    (this.endpoints[index] as SimulatedSlotEndpoint).isGone = false
    this._register(index, 2)
  }

  private _register (index: number, startedAt: number): void {
    const { id, slots } = this.endpoints[index] as SimulatedSlotEndpoint
    const value = { id, service: SERVICE, address: `${id}:1`, availabilityZone: `z${index}`, slots, isDraining: false, startedAt, revision: 1 }
    this.endpointTable.apply([{ key: id, value }], undefined)
  }

  /** Share of the answered requests of a time that used a grant. */
  grantedShare (from: number): number {
    const answered = this.finished.filter(({ at, isAnswered }) => isAnswered && at >= from)
    return answered.filter(({ isGranted }) => isGranted).length / answered.length
  }

  /** Longest time until a request was refused, in milliseconds. */
  get longestRefusalMs (): number {
    return Math.max(0, ...this.finished.filter(({ isAnswered }) => !isAnswered).map(({ elapsedMs }) => elapsedMs))
  }

  /** Most requests at one endpoint at a time between two moments. */
  maximumInFlight (from = 0, to = Infinity): number {
    return Math.max(0, ...this.endpoints.flatMap(({ inFlightSamples }) => inFlightSamples.filter(({ at }) => at >= from && at < to).map(({ count }) => count)))
  }

  /** Share of the requests of a time, or a workspace, that were answered within a limit. */
  share (withinMs: number, from = 0, workspace?: string): number {
    const requests = this.finished.filter(({ at, workspace: other }) => at >= from && (workspace === undefined || workspace === other))
    return requests.filter(({ isAnswered, elapsedMs }) => isAnswered && elapsedMs <= withinMs).length / requests.length
  }

  /** Cuts a router off from the messages of slot grants, or ends the cut. */
  cut (router: SimulatedSlotRouter, isCut = true): void {
    if (isCut) this._cuts.add(router)
    else this._cuts.delete(router)
  }

  isCut (left: SimulatedSlotRouter, right: SimulatedSlotRouter): boolean {
    return this._cuts.has(left) !== this._cuts.has(right)
  }

  delay (left: SimulatedSlotRouter, right: SimulatedSlotRouter): number {
    return left.zone === right.zone ? 0.5 : 1 + this.random() * 3
  }

  kill (router: SimulatedSlotRouter): void {
    router.isKilled = true
    router.links.endAll()
    for (const other of this.routers) other.links.endAll(router.entry.name)
  }

  /** Runs the load, and then until all requests have ended. */
  async run (): Promise<void> {
    const { seconds, perSecond: [low, high], onStep } = this._load
    const rate = (now: number): number => Math.floor(now / 500) % 2 === 0 ? low : high
    const next = (now: number): number => now - Math.log(1 - this.random()) * 1_000 / rate(now)
    let nextArrivalAt = next(0)
    for (let now = 0; now < seconds * 1_000 + TIMEOUT_MS; now += 1) {
      onStep?.(this, now)
      this._maintain(now)
      for (; nextArrivalAt <= Math.min(now, seconds * 1_000); nextArrivalAt = next(nextArrivalAt)) {
        const router = this.routers[Math.floor(this.random() * this.routers.length)] as SimulatedSlotRouter
        if (!router.isKilled && !router.isFrozen) this._serve(router).catch((error: Error) => { throw error })
      }
      await this.clock.advance(1)
    }
  }

  private _maintain (now: number): void {
    const live = this.routers.filter(({ isKilled, isFrozen }) => !isKilled && !isFrozen)
    for (const router of live) {
      if (now % SWEEP_MS === 0 && router.owners.hasWork) router.owners.sweep()
      if (now % RECONNECT_MS === 0) router.links.keep(router.ownership.wantedRouters())
      if (now % REPORT_INTERVAL_MS !== router.reportsAt) continue
      const others: Record<string, number> = {}
      for (const other of live) {
        if (other === router) continue
        for (const [id, count] of Object.entries(other.loads.localLoads())) others[id] = (others[id] ?? 0) + count
      }
      this.clock.sleep(REPORT_INTERVAL_MS / 2).then(() => router.loads.report('others', others), () => undefined)
    }
  }

  private async _serve (router: SimulatedSlotRouter): Promise<void> {
    const startedAt = this.clock.now()
    const workspace = this.random() < (this._load.firstShare ?? 0.25) ? 'w0' : `w${1 + Math.floor(this.random() * 3)}`
    const request = { workspace, rank: 0, routeRank: 0, objectiveMs: this._load.objectiveMs, timeLeftMs: TIMEOUT_MS }
    const authorized = { service: SERVICE, caller: { prompt: [] } } as unknown as AuthorizedRequest
    const path = router.paths.create(authorized, () => startedAt + TIMEOUT_MS - this.clock.now())
    const { signal } = new AbortController()
    let isAnswered = false
    this._unfinished += 1
    try {
      if (!path.tryAdmit(request)) await path.wait(request, signal)
      isAnswered = await this._send(router, path, signal)
    } catch (error) {
      // A refused request is neither answered nor in flight.
      if ((error as Partial<MimosarockError>).code !== ResultCode.OVERLOADED) throw error
    }
    this._unfinished -= 1
    const at = this.clock.now()
    this.finished.push({ at, elapsedMs: at - startedAt, workspace, isAnswered, isGranted: path.slotOwner !== undefined })
  }

  private _count (endpointId: string, isGranted: boolean, change: number): void {
    if (!isGranted) {
      this.withoutGrant += change
      return
    }
    const count = (this._granted.get(endpointId) ?? 0) + change
    this._granted.set(endpointId, count)
    this._grantedSamples.push({ at: this.clock.now(), count })
  }

  private async _send (router: SimulatedSlotRouter, path: ReturnType<AdmissionPaths['create']>, signal: AbortSignal): Promise<boolean> {
    const admittedAt = this.clock.now()
    const excluded = new Set<string>()
    let outcome: CallOutcome = CallOutcome.NOT_SENT
    while (outcome === CallOutcome.NOT_SENT || outcome === CallOutcome.REJECTED) {
      const chosen = await path.choose({ excluded }, signal)
      if (chosen === undefined) break
      const { id } = chosen.endpoint
      excluded.add(id)
      const endpoint = this.endpoints.find((other) => other.id === id) as SimulatedSlotEndpoint
      const isGranted = chosen.reason === ChoiceReason.GRANTED
      this._count(id, isGranted, 1)
      const delayMs = chosen.endpoint.availabilityZone === router.entry.availabilityZone ? 0.5 : 2
      router.loads.begin(id)
      await this.clock.sleep(delayMs)
      outcome = await endpoint.serve()
      const load = { running: endpoint.running, waiting: endpoint.inFlight - endpoint.running, slots: endpoint.slots, slowdown: endpoint.slowdown() }
      if (outcome === CallOutcome.COMPLETE) endpoint.end()
      await this.clock.sleep(delayMs)
      router.loads.end(id)
      this._count(id, isGranted, -1)
      // A killed router releases nothing; its request runs on at the endpoint.
      if (!router.isKilled) path.endCall(outcome, load)
    }
    if (!router.isKilled) path.release(this.clock.now() - admittedAt)
    return outcome === CallOutcome.COMPLETE
  }
}
