import { SilentEventLog } from '@mimosarock/coordination/silent-event-log.js'
import { EndpointHealth } from '@mimosarock/gateway/choice/endpoint-health.js'
import { EndpointSelector } from '@mimosarock/gateway/choice/endpoint-selector.js'
import { EndpointPauses } from '@mimosarock/gateway/choice/endpoint-pauses.js'
import { HolderTable } from '@mimosarock/gateway/choice/holder-table.js'
import { LoadView } from '@mimosarock/gateway/choice/load-view.js'
import { EndpointTable } from '@mimosarock/gateway/membership/endpoint-table.js'
import { SteppedClock } from '../../../router/src/test/stepped-clock.js'
import { seededRandom } from './seeded-random.js'
import { createPermits } from './create-permits.js'

const SERVICE = 's'
const STEP_MS = 5

/** Endpoint that runs a number of requests at a time and queues the others. */
class SimulatedEndpoint {
  readonly id: string
  maximumInFlight = 0
  private readonly _slots: number
  private readonly _serviceMs: () => number
  private readonly _clock: SteppedClock
  private readonly _queue: (() => void)[] = []
  private _running = 0

  constructor (id: string, slots: number, serviceMs: () => number, clock: SteppedClock) {
    this.id = id
    this._slots = slots
    this._serviceMs = serviceMs
    this._clock = clock
  }

  serve (onEnd: () => void): void {
    this._queue.push(onEnd)
    this.maximumInFlight = Math.max(this.maximumInFlight, this._running + this._queue.length)
    this._startNext()
  }

  private _startNext (): void {
    while (this._running < this._slots && this._queue.length > 0) {
      const onEnd = this._queue.shift() as () => void
      this._running += 1
      this._clock.sleep(this._serviceMs()).then(() => {
        this._running -= 1
        onEnd()
        this._startNext()
      }, () => undefined)
    }
  }
}

/** Load of a simulation. */
interface Load {
  readonly routers: number
  readonly endpoints: number
  readonly slots: number
  readonly perSecond: number
  readonly serviceMs: number
  /** Interval at which each router learns what the others had in flight. */
  readonly reportIntervalMs: number
  readonly seconds: number
  /** How much slower the first endpoint is than the others; 1 by default. */
  readonly slowness?: number
}

/**
 * Simulates routers that share a service with few endpoints and send requests without a prompt to them. Each router learns
 * the loads of the others at a moment of its own, by a report that is half an interval old.
 * @param load load to simulate
 * @returns times at the endpoint in ascending order, in milliseconds, and the most requests in flight at one endpoint
 */
export async function simulateFewEndpoints (load: Load): Promise<{ times: readonly number[], maximumInFlight: number }> {
  const clock = new SteppedClock()
  const random = seededRandom(11)
  const exponential = (mean: number): number => -mean * Math.log(1 - random())
  const endpoints = Array.from({ length: load.endpoints }, (_, index) => new SimulatedEndpoint(`e${index}`, load.slots, () => load.serviceMs * (0.5 + random()) * (index === 0 ? load.slowness ?? 1 : 1), clock))
  const entries = endpoints.map(({ id }) => ({ key: id, value: { id, service: SERVICE, address: `${id}:1`, availabilityZone: 'z', slots: load.slots, isDraining: false, startedAt: 1, revision: 1 } }))
  const routers = Array.from({ length: load.routers }, () => {
    const table = new EndpointTable(clock, new SilentEventLog())
    table.apply(entries, undefined)
    const loads = new LoadView(() => clock.now())
    const selector = new EndpointSelector({
      endpoints: table, loads, holders: new HolderTable(), health: new EndpointHealth(clock), pauses: new EndpointPauses(clock), permits: createPermits(table, clock), availabilityZone: 'z', isFleetLarge: () => true, loadBoundFactor: () => 2, routerCount: () => load.routers, random
    })
    return { loads, selector, reportsAt: Math.floor(random() * load.reportIntervalMs / STEP_MS) * STEP_MS }
  })
  const times: number[] = []
  const send = ({ loads, selector }: typeof routers[number]): void => {
    const chosen = selector.choose(SERVICE, [], { excluded: new Set() })?.endpoint.id
    const endpoint = endpoints.find(({ id }) => id === chosen) as SimulatedEndpoint
    const sentAt = clock.now()
    loads.begin(endpoint.id)
    endpoint.serve(() => {
      loads.end(endpoint.id)
      times.push(clock.now() - sentAt)
    })
  }
  let nextArrivalAt = exponential(1_000 / load.perSecond)
  const history: Record<string, number>[][] = []
  for (let now = 0; now < load.seconds * 1_000; now += STEP_MS) {
    history.push(routers.map(({ loads }) => loads.localLoads()))
    const past = history[Math.max(0, history.length - 1 - Math.round(load.reportIntervalMs / 2 / STEP_MS))] as Record<string, number>[]
    routers.forEach(({ loads, reportsAt }, index) => {
      if (now % load.reportIntervalMs !== reportsAt) return
      const others: Record<string, number> = {}
      past.forEach((local, other) => {
        if (other === index) return
        for (const [id, count] of Object.entries(local)) others[id] = (others[id] ?? 0) + count
      })
      loads.report('others', others)
    })
    while (nextArrivalAt <= now) {
      send(routers[Math.floor(random() * routers.length)] as typeof routers[number])
      nextArrivalAt += exponential(1_000 / load.perSecond)
    }
    await clock.advance(STEP_MS)
  }
  return { times: times.sort((left, right) => left - right), maximumInFlight: Math.max(...endpoints.map((endpoint) => endpoint.maximumInFlight)) }
}
