import { SilentEventLog } from '@mimosarock/coordination/silent-event-log.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { RendezvousOrder } from '@mimosarock/placement/rendezvous-order.js'
import { FleetConcurrencyLimit } from '@mimosarock/gateway/admission/fleet-concurrency-limit.js'
import { ServiceAdmissions } from '@mimosarock/gateway/admission/service-admissions.js'
import { AdmissionPaths } from '@mimosarock/gateway/caller/admission-paths.js'
import type { AuthorizedRequest } from '@mimosarock/gateway/caller/authorized-request.js'
import { ChoiceReason } from '@mimosarock/gateway/choice/choice-reason.js'
import { EndpointHealth } from '@mimosarock/gateway/choice/endpoint-health.js'
import { EndpointPauses } from '@mimosarock/gateway/choice/endpoint-pauses.js'
import { EndpointSelector } from '@mimosarock/gateway/choice/endpoint-selector.js'
import { HolderTable } from '@mimosarock/gateway/choice/holder-table.js'
import { LoadView } from '@mimosarock/gateway/choice/load-view.js'
import { LineWriter } from '@mimosarock/gateway/grants/line-writer.js'
import { LocalSlotLink } from '@mimosarock/gateway/grants/local-slot-link.js'
import { SlotClient } from '@mimosarock/gateway/grants/slot-client.js'
import { SlotClientConnection } from '@mimosarock/gateway/grants/slot-client-connection.js'
import type { SlotLink } from '@mimosarock/gateway/grants/slot-link.js'
import type { SlotLinks } from '@mimosarock/gateway/grants/slot-links.js'
import { SlotOwners } from '@mimosarock/gateway/grants/slot-owners.js'
import { SlotOwnership } from '@mimosarock/gateway/grants/slot-ownership.js'
import { SlotServerConnection } from '@mimosarock/gateway/grants/slot-server-connection.js'
import { ReportedLoads } from '@mimosarock/gateway/loads/reported-loads.js'
import { EndpointTable } from '@mimosarock/gateway/membership/endpoint-table.js'
import type { RouterEntry } from '@mimosarock/gateway/model/router-entry.js'
import { CallOutcome } from '@mimosarock/gateway/sending/call-outcome.js'
import { SteppedClock } from '../../../router/src/test/stepped-clock.js'
import { createPermits } from './create-permits.js'
import { seededRandom } from './seeded-random.js'

const SERVICE = 's'
const REPORT_INTERVAL_MS = 250
const DEFAULT_LOSS = 0.0015
const LOSS_DELAY_MS = 200
const RECONNECT_MS = 50
const SWEEP_MS = 20
/** Number of requests that wait at an endpoint, above which it rejects them. */
const ENDPOINT_QUEUE = 24
const TIMEOUT_MS = 2_000

/** Load of a simulation. */
interface Load {
  readonly routers: number
  readonly usesGrants: boolean
  readonly perSecond: readonly [number, number]
  readonly seconds: number
  readonly objectiveMs: number
  /** Slowdown of an endpoint at a time, 1 by default. */
  readonly slowdown?: (endpoint: number, now: number) => number
  /** Share of the requests that come from the first of four workspaces; equal shares by default. */
  readonly firstShare?: number
  /** Fraction of the messages that arrive 200 ms late. */
  readonly loss?: number
  /** Called before each millisecond. */
  readonly onStep?: (fleet: SlotFleetSimulation, now: number) => void
}

/** A finished request. */
interface Finished {
  readonly at: number
  readonly elapsedMs: number
  readonly workspace: string
  readonly isAnswered: boolean
  readonly isGranted: boolean
}

class SimulatedEndpoint {
  readonly inFlightSamples: { at: number, count: number }[] = []
  isGone = false
  running = 0
  served = 0
  private readonly _queue: (() => void)[] = []

  constructor (readonly id: string, readonly slots: number, private readonly _clock: SteppedClock, private readonly _serviceMs: () => number, readonly slowdown: () => number) {}

  get inFlight (): number {
    return this.running + this._queue.length
  }

  async serve (): Promise<CallOutcome> {
    if (this.isGone) return CallOutcome.NOT_SENT
    if (this._queue.length >= ENDPOINT_QUEUE) return CallOutcome.REJECTED
    this.inFlightSamples.push({ at: this._clock.now(), count: this.inFlight + 1 })
    if (this.running >= this.slots) await new Promise<void>((resolve) => this._queue.push(resolve))
    this.running += 1
    await this._clock.sleep(this._serviceMs() * this.slowdown())
    return CallOutcome.COMPLETE
  }

  end (): void {
    this.running -= 1
    this.served += 1
    this._queue.shift()?.()
  }
}

/** Links of one simulated router to the others, with delays, losses and faults. */
class SimulatedLinks implements SlotLinks {
  private readonly _open = new Map<string, { readonly link: SlotLink, readonly server: SimulatedRouter, end: () => void }>()
  private readonly _down = new Set<string>()

  constructor (private readonly _fleet: SlotFleetSimulation, private readonly _router: () => SimulatedRouter) {}

  linkTo ({ name }: RouterEntry): SlotLink | undefined {
    return this._open.get(name)?.link
  }

  isDown ({ name }: RouterEntry): boolean {
    return this._down.has(name)
  }

  reset ({ name }: RouterEntry): void {
    this._open.get(name)?.end()
  }

  /** Ends the links to a router; or all, if this router is killed. */
  endAll (name?: string): void {
    for (const [other, { end }] of this._open) if (name === undefined || other === name) end()
  }

  keep (wanted: readonly RouterEntry[]): void {
    for (const { name } of wanted) if (!this._open.has(name)) this._connect(name)
  }

  private _connect (name: string): void {
    const server = this._fleet.routers.find((router) => router.entry.name === name) as SimulatedRouter
    const client = this._router()
    if (server.isKilled || server.isFrozen || client.isKilled || this._fleet.isCut(client, server)) {
      this._down.add(name)
      return
    }
    let isEnded = false
    const pipe = (to: SimulatedRouter, receive: (line: string) => unknown): LineWriter => {
      let arrivesAt = 0
      const deliver = (text: string): void => {
        if (isEnded || this._fleet.isCut(client, server)) return
        if (to.isFrozen) {
          this._fleet.clock.sleep(SWEEP_MS).then(() => deliver(text), () => undefined)
          return
        }
        for (const line of text.split('\n')) if (line !== '') receive(line)
      }
      return new LineWriter((text) => {
        const { clock, random } = this._fleet
        arrivesAt = Math.max(arrivesAt, clock.now() + this._fleet.delay(client, server) + (random() < this._fleet.loss ? LOSS_DELAY_MS : 0) + to.processingMs)
        clock.sleep(arrivesAt - clock.now()).then(() => deliver(text), () => undefined)
      }, (flush) => flush())
    }
    const connection: SlotClientConnection = new SlotClientConnection(pipe(server, (line) => serverConnection.receive(line)))
    const serverConnection: SlotServerConnection = new SlotServerConnection(server.owners, pipe(client, (line) => connection.receive(line)), client.entry.name)
    this._down.delete(name)
    this._open.set(name, {
      link: connection,
      server,
      end: () => {
        isEnded = true
        this._open.delete(name)
        this._down.add(name)
        connection.end()
        serverConnection.end()
      }
    })
  }
}

/** Router of the simulation: the components of a router that decide, without its network. */
class SimulatedRouter {
  isKilled = false
  isFrozen = false
  /** Time that this router takes to handle a message, in milliseconds. */
  processingMs = 0
  readonly entry: RouterEntry
  readonly zone: number
  readonly loads: LoadView
  readonly links: SimulatedLinks
  readonly owners: SlotOwners
  readonly ownership: SlotOwnership
  readonly paths: AdmissionPaths
  readonly reportsAt: number
  /** Names of routers that this one wrongly takes to be gone. */
  readonly presumedGone = new Set<string>()

  constructor (fleet: SlotFleetSimulation, index: number, load: Load) {
    const { clock, endpointTable: endpoints, random } = fleet
    this.entry = { name: `r${index}`, availabilityZone: `z${index % 3}`, address: `r${index}` }
    this.zone = index % 3
    this.reportsAt = Math.floor(random() * REPORT_INTERVAL_MS)
    this.loads = new LoadView(() => clock.now())
    const { loads } = this
    const permits = createPermits(endpoints, clock)
    const health = new EndpointHealth(clock)
    const pauses = new EndpointPauses(clock)
    const endpointSelector = new EndpointSelector({
      endpoints, loads, holders: new HolderTable(), health, pauses, permits, availabilityZone: this.entry.availabilityZone, isFleetLarge: () => true, loadBoundFactor: () => 2, routerCount: () => load.routers, random
    })
    const availableEndpoints = (service: string) => health.preferHealthy(endpoints.ready(service))
    const limit = new FleetConcurrencyLimit({
      loads, random, routerCount: () => load.routers, availableEndpoints, permits, now: () => clock.now(), serviceMs: (service) => admissions.get(service).serviceMs
    })
    const admissions: ServiceAdmissions = new ServiceAdmissions({
      clock,
      random,
      limitOf: (service) => limit.limit(service),
      processLimit: () => Infinity,
      rateLimitOf: () => ({ intervalMs: () => undefined, requestQueued: () => undefined }),
      loadAt: () => 0,
      fairnessOf: () => ({ countArrival: () => undefined, countAdmission: () => undefined, recordRefusal: () => undefined, mayQueue: () => true })
    })
    loads.onReport(() => admissions.admitQueued())
    this.links = new SimulatedLinks(fleet, () => this)
    const members = (): RouterEntry[] => fleet.routers.filter(({ isKilled, entry }) => !(isKilled && fleet.forgetsKilled) && !this.presumedGone.has(entry.name)).map(({ entry }) => entry)
    let order: RendezvousOrder<{ name: string, capacity: number, entry: RouterEntry }> | undefined
    let count = 0
    const { entry } = this
    const routers = {
      self: entry,
      get order () {
        const current = members()
        if (order === undefined || count !== current.length) order = new RendezvousOrder(current.map((router) => ({ name: router.name, capacity: 1, entry: router })))
        count = current.length
        return order
      }
    }
    this.ownership = new SlotOwnership({ clock, routers, endpoints, isEnabled: () => load.usesGrants, isDown: (router) => this.links.isDown(router) })
    this.owners = new SlotOwners({
      clock, random, availableEndpoints: (service) => endpoints.ready(service), health: new EndpointHealth(clock), reportedLoads: new ReportedLoads(clock, new SilentEventLog()), fleetLoad: (id) => loads.total(id)
    }, (service) => this.ownership.owns(service))
    const request = this.owners.request.bind(this.owners)
    this.owners.request = (holder, slot, listener) => request(holder, slot, {
      ...listener,
      refused: (refusal) => {
        if (refusal.code === ResultCode.OVERLOADED && this.owners.inUse + fleet.withoutGrant < fleet.slots) fleet.refusedWhileFree += 1
        listener.refused(refusal)
      }
    })
    const slotClient = new SlotClient({
      router: entry.name, ownership: this.ownership, links: this.links, localLink: new LocalSlotLink(this.owners, entry.name), clock, log: new SilentEventLog(), onResult: () => undefined
    })
    this.paths = new AdmissionPaths({ admissions, endpointSelector, slotClient, endpoints, health, permits, clock })
  }
}

/** Routers in front of three endpoints of six slots, with messages that take some milliseconds and are lost now and then. */
export class SlotFleetSimulation {
  readonly clock = new SteppedClock()
  readonly random = seededRandom(11)
  readonly endpointTable = new EndpointTable(this.clock, new SilentEventLog())
  readonly endpoints: readonly SimulatedEndpoint[]
  readonly routers: SimulatedRouter[] = []
  readonly finished: Finished[] = []
  /** Number of requests that an owner refused although it had granted fewer slots than there are, less those in use without a grant. */
  refusedWhileFree = 0
  /** Fraction of the messages that arrive 200 ms late. */
  loss: number
  /** Number of requests in flight without a grant. */
  withoutGrant = 0
  /** Whether routers that were killed are no longer listed as live. */
  forgetsKilled = false
  private readonly _cuts = new Set<SimulatedRouter>()
  private readonly _load: Load
  private readonly _granted = new Map<string, number>()
  private readonly _grantedSamples: { at: number, count: number }[] = []
  private _unfinished = 0

  /** @param load load to simulate */
  constructor (load: Load) {
    this._load = load
    this.loss = load.loss ?? DEFAULT_LOSS
    const lognormal = (): number => 36 * Math.exp(0.12 * Math.sqrt(-2 * Math.log(1 - this.random())) * Math.cos(2 * Math.PI * this.random()))
    this.endpoints = [0, 1, 2].map((index) => new SimulatedEndpoint(`e${index}`, 6, this.clock, lognormal, () => load.slowdown?.(index, this.clock.now()) ?? 1))
    for (const index of this.endpoints.keys()) this._register(index, 1)
    for (let index = 0; index < load.routers; index += 1) this.routers.push(new SimulatedRouter(this, index, load))
  }

  /** The router that owns the slots according to the first router that is neither killed nor frozen. */
  get owner (): SimulatedRouter {
    const name = this.routers.find(({ isKilled, isFrozen }) => !isKilled && !isFrozen)?.ownership.ownerOf(SERVICE)?.name
    return this.routers.find(({ entry }) => entry.name === name) as SimulatedRouter
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
    const { id } = this.endpoints[index] as SimulatedEndpoint
    (this.endpoints[index] as SimulatedEndpoint).isGone = true
    this.clock.sleep(200).then(() => this.endpointTable.apply([{ key: id, value: undefined }], undefined), () => undefined)
  }

  /** Starts an endpoint again, as a new incarnation. */
  restartEndpoint (index: number): void {
    (this.endpoints[index] as SimulatedEndpoint).isGone = false
    this._register(index, 2)
  }

  private _register (index: number, startedAt: number): void {
    const { id, slots } = this.endpoints[index] as SimulatedEndpoint
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
  cut (router: SimulatedRouter, isCut = true): void {
    if (isCut) this._cuts.add(router)
    else this._cuts.delete(router)
  }

  isCut (left: SimulatedRouter, right: SimulatedRouter): boolean {
    return this._cuts.has(left) !== this._cuts.has(right)
  }

  delay (left: SimulatedRouter, right: SimulatedRouter): number {
    return left.zone === right.zone ? 0.5 : 1 + this.random() * 3
  }

  kill (router: SimulatedRouter): void {
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
        const router = this.routers[Math.floor(this.random() * this.routers.length)] as SimulatedRouter
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

  private async _serve (router: SimulatedRouter): Promise<void> {
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
    } catch {
      // Refused: neither answered nor in flight.
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

  private async _send (router: SimulatedRouter, path: ReturnType<AdmissionPaths['create']>, signal: AbortSignal): Promise<boolean> {
    const admittedAt = this.clock.now()
    const excluded = new Set<string>()
    let outcome: CallOutcome = CallOutcome.NOT_SENT
    while (outcome === CallOutcome.NOT_SENT || outcome === CallOutcome.REJECTED) {
      const chosen = await path.choose({ excluded }, signal)
      if (chosen === undefined) break
      const { id } = chosen.endpoint
      excluded.add(id)
      const endpoint = this.endpoints.find((other) => other.id === id) as SimulatedEndpoint
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
