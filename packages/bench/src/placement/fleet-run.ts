import type { AdmissionBound } from '@mimosarock/placement/admission-bound.js'
import { SeededRandom } from '@mimosarock/stand-ins/seeded-random.js'
import type { Fleet } from '../fleet/fleet.js'
import type { ChatArrival } from './chat-arrival.js'
import { ChatCaller } from './chat-caller.js'
import type { ChatOutcome } from './chat-outcome.js'
import type { FleetFaults } from './fleet-faults.js'
import { LoadSamples } from './load-samples.js'

const MAXIMUM_ERROR_LINES = 5

/** Fleet, arrivals and measurement intervals of a run. */
interface FleetRunOptions {
  readonly fleet: Fleet
  readonly faults: FleetFaults
  readonly arrivals: readonly ChatArrival[]
  readonly bound: AdmissionBound
  readonly seed: number
  readonly sampleMs: number
  readonly warmUpMs: number
}

/** Sends arrivals to the routers of a fleet at their scheduled times and records the outcomes and the engine loads. */
export class FleetRun {
  /** Loads of the engines, sampled at a fixed interval. */
  readonly samples: LoadSamples
  /** Outcome of each turn after the warm-up. */
  readonly outcomes: Array<{ arrival: ChatArrival, outcome: ChatOutcome }> = []
  /**
   * Number of calls that failed because the connection to the router broke or the response was not complete within
   * 60 s. Only the loss of a router is expected to cause this.
   */
  brokenConnections = 0
  /** Maximum delay of the bench's own timers, in milliseconds. A high value shows that the machine is overloaded. */
  maximumTimerDelayMs = 0
  /** Maximum control traffic of a router in the 1-second interval between two samples, in bytes per second. */
  maximumControlBytesPerSecond = 0
  private readonly _options: FleetRunOptions
  private readonly _caller = new ChatCaller()
  private readonly _random: SeededRandom
  private readonly _previousControlBytes = new Map<string, number>()

  /**
   * @param options fleet, arrivals and intervals; the run sends to this fleet but does not stop it
   */
  constructor (options: FleetRunOptions) {
    this._options = options
    this.samples = new LoadSamples(options.bound)
    this._random = new SeededRandom(options.seed + 1)
  }

  /** Sends all arrivals and resolves once every call has ended. */
  async run (): Promise<void> {
    const { arrivals, sampleMs, warmUpMs } = this._options
    const startedAt = performance.now()
    const end = arrivals.at(-1)?.arrivesAt ?? 0
    const sampler = setInterval(() => {
      const at = performance.now() - startedAt
      if (at > warmUpMs && at < end) this.samples.record(this._options.faults.loads())
    }, sampleMs)
    const control = setInterval(() => this._sampleControlTraffic(performance.now() - startedAt > warmUpMs), 1_000)
    const calls: Array<Promise<void>> = []
    for (const arrival of arrivals) {
      const wait = arrival.arrivesAt - (performance.now() - startedAt)
      if (wait > 1) await new Promise((resolve) => setTimeout(resolve, wait))
      this.maximumTimerDelayMs = Math.max(this.maximumTimerDelayMs, performance.now() - startedAt - arrival.arrivesAt)
      calls.push(this._send(arrival))
    }
    clearInterval(sampler)
    clearInterval(control)
    await Promise.all(calls)
    await this._caller.close()
  }

  /** Descriptions of the first incorrect responses, one line each. */
  get errorLines (): string[] {
    const incorrect = this.outcomes.filter(({ outcome }) => !outcome.isCorrect)
    return incorrect.slice(0, MAXIMUM_ERROR_LINES).map(({ arrival, outcome }) => `at ${Math.round(arrival.arrivesAt)} status ${outcome.status}: ${outcome.detail}`)
  }

  private async _send (arrival: ChatArrival): Promise<void> {
    const { fleet, warmUpMs } = this._options
    const router = this._random.below(fleet.routers.length)
    try {
      const outcome = await this._caller.call(fleet.callerAddress(router), arrival)
      if (arrival.arrivesAt >= warmUpMs) this.outcomes.push({ arrival, outcome })
    } catch {
      this.brokenConnections += 1
    }
  }

  private _sampleControlTraffic (isMeasured: boolean): void {
    for (const { process } of this._options.fleet.routers) {
      const previousBytes = this._previousControlBytes.get(process.id)
      const bytes = process.controlBytes
      this._previousControlBytes.set(process.id, bytes)
      if (isMeasured && previousBytes !== undefined) this.maximumControlBytesPerSecond = Math.max(this.maximumControlBytesPerSecond, bytes - previousBytes)
    }
  }
}
