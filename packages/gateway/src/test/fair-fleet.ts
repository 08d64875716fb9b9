import { SilentEventLog } from '@mimosarock/coordination/silent-event-log.js'
import { FleetConcurrencyLimit } from '@mimosarock/gateway/admission/fleet-concurrency-limit.js'
import { ServiceAdmission } from '@mimosarock/gateway/admission/service-admission.js'
import { LoadView } from '@mimosarock/gateway/choice/load-view.js'
import { WorkspaceFairness } from '@mimosarock/gateway/fairness/workspace-fairness.js'
import type { EndpointEntry } from '@mimosarock/gateway/model/endpoint-entry.js'
import { seededRandom } from './seeded-random.js'
import { SteppedClock } from '../../../router/src/test/stepped-clock.js'

const SERVICE = 's'
const SERVICE_MS = 250
const STEP_MS = 10
const SYNC_INTERVAL_MS = 250
const SLOTS_PER_ROUTER = 8
const OBJECTIVE_MS = 500
/** Requests of one workspace: those that arrived, and those that were served within their objective. */
interface WorkspaceResult {
  arrived: number
  served: number
}

/** One router with its admission control. */
interface FairRouter {
  readonly admission: ServiceAdmission
  readonly loads: LoadView
  readonly fairness: WorkspaceFairness
}

/**
 * Routers in front of a service with 8 slots for each of them, whose requests take 250 ms; others queue at the endpoint. They exchange loads and
 * demand every 250 ms through the first one.
 */
export class FairFleet {
  readonly results = new Map<string, WorkspaceResult>()
  private readonly _clock = new SteppedClock()
  private readonly _random: () => number
  private readonly _endpoint: EndpointEntry
  private readonly _waiting: (() => void)[] = []
  private _running = 0
  private readonly _routers: readonly FairRouter[]
  /** Routers that the first one does not hear. */
  lost: ReadonlySet<number> = new Set()

  /**
   * @param size number of routers
   * @param isFair whether routers know the shares
   * @param seed seed of the random numbers
   */
  constructor (size: number, isFair: boolean, seed: number) {
    this._random = seededRandom(seed)
    this._endpoint = {
      id: 'e', service: SERVICE, address: 'e', availabilityZone: 'z', slots: size * SLOTS_PER_ROUTER, isDraining: false, startedAt: 1, revision: 1
    }
    this._routers = Array.from({ length: size }, (_, index) => this._createRouter(index, size, isFair))
  }

  /** Requests a second that the service can serve. */
  get capacity (): number {
    return this._endpoint.slots * 1_000 / SERVICE_MS
  }

  /**
   * Returns the fraction of the requests of a workspace that were served within their objective.
   * @param workspace name of the workspace
   */
  servedFraction (workspace: string): number {
    const { served, arrived } = this.results.get(workspace) ?? { served: 0, arrived: 1 }
    return served / arrived
  }

  /**
   * Lets requests arrive at random routers.
   * @param demand requests by workspace, as a fraction of the capacity
   * @param seconds duration
   */
  async run (demand: Readonly<Record<string, number>>, seconds: number): Promise<void> {
    for (let step = 0; step < seconds * 1_000 / STEP_MS; step += 1) {
      for (const [workspace, fraction] of Object.entries(demand)) {
        const mean = fraction * this.capacity * STEP_MS / 1_000
        const count = Math.floor(mean) + (this._random() < mean % 1 ? 1 : 0)
        for (let number = 0; number < count; number += 1) this._send(workspace)
      }
      if (step % (SYNC_INTERVAL_MS / STEP_MS) === 0) this._sync()
      await this._clock.advance(STEP_MS)
    }
  }

  /** Waits until all requests have ended. */
  async finish (): Promise<void> {
    for (let step = 0; step < OBJECTIVE_MS * 2 / STEP_MS; step += 1) await this._clock.advance(STEP_MS)
  }

  private _createRouter (index: number, size: number, isFair: boolean): FairRouter {
    const loads = new LoadView(() => this._clock.now())
    const fairness = new WorkspaceFairness(this._clock, new SilentEventLog(), this._random)
    fairness.setFollowing(() => index > 0 && !this.lost.has(index))
    const limit = new FleetConcurrencyLimit({
      loads, random: this._random, routerCount: () => size, availableEndpoints: () => [this._endpoint], permits: undefined, now: () => this._clock.now(), serviceMs: () => SERVICE_MS
    })
    const admission = new ServiceAdmission({
      service: SERVICE,
      clock: this._clock,
      limit: () => limit.limit(SERVICE),
      random: this._random,
      fairness: !isFair
        ? undefined
        : {
            countArrival: (workspace) => fairness.countArrival(SERVICE, workspace),
            countAdmission: (workspace) => fairness.countAdmission(SERVICE, workspace),
            recordRefusal: () => fairness.recordRefusal(SERVICE),
            mayQueue: (workspace) => fairness.mayQueue(SERVICE, workspace)
          }
    })
    loads.onReport(() => admission.admitQueued())
    return { admission, loads, fairness }
  }

  private _send (workspace: string): void {
    const { admission, loads } = this._routers[Math.floor(this._random() * this._routers.length)] as FairRouter
    const result = this.results.get(workspace) ?? { arrived: 0, served: 0 }
    this.results.set(workspace, result)
    result.arrived += 1
    const request = { workspace, rank: 0, routeRank: 0, objectiveMs: OBJECTIVE_MS, timeLeftMs: 5_000 }
    const arrivedAt = this._clock.now()
    const serve = (): void => {
      loads.begin(this._endpoint.id)
      this._runAtEndpoint(() => {
        loads.end(this._endpoint.id)
        admission.release(SERVICE_MS)
        if (this._clock.now() - arrivedAt <= OBJECTIVE_MS) result.served += 1
      })
    }
    if (admission.tryAdmit(request)) serve()
    else admission.wait(request, new AbortController().signal).then(serve, () => undefined)
  }

  private _runAtEndpoint (onEnd: () => void): void {
    if (this._running === this._endpoint.slots) {
      this._waiting.push(() => this._runAtEndpoint(onEnd))
      return
    }
    this._running += 1
    this._clock.sleep(SERVICE_MS).then(() => {
      this._running -= 1
      onEnd()
      this._waiting.shift()?.()
    }, () => undefined)
  }

  private _sync (): void {
    const first = this._routers[0] as FairRouter
    const heard = this._routers.filter((_, index) => !this.lost.has(index))
    const sum = heard.reduce((total, { loads }) => total + loads.localLoad(this._endpoint.id), 0)
    for (const [index, router] of heard.entries()) {
      router.loads.report('fleet', { [this._endpoint.id]: sum - router.loads.localLoad(this._endpoint.id) })
      if (router === first) continue
      first.fairness.recordDemand(String(index), router.fairness.demand() ?? [])
      router.fairness.adopt(first.fairness.shares)
    }
  }
}
