import type { AdmissionBound } from '@mimosarock/placement/admission-bound.js'
import { SeededRandom } from '@mimosarock/stand-ins/seeded-random.js'
import type { Fleet } from '../fleet/fleet.js'
import type { ChatArrival } from './chat-arrival.js'
import { ChatCaller } from './chat-caller.js'
import type { ChatOutcome } from './chat-outcome.js'
import type { FleetFaults } from './fleet-faults.js'
import { LoadSamples } from './load-samples.js'

const SHOWN_FAULTS = 5

/** What sending arrivals to a fleet needs. */
interface FleetRunOptions {
  readonly fleet: Fleet
  readonly faults: FleetFaults
  readonly arrivals: readonly ChatArrival[]
  readonly bound: AdmissionBound
  readonly seed: number
  readonly sampleMs: number
  readonly warmUpMs: number
}

/** Sends arrivals to the routers of a fleet at their times and gathers what callers see and engines carry. */
export class FleetRun {
  /** Loads of the engines, at equal intervals. */
  readonly samples: LoadSamples
  /** What callers saw after the warm-up, by turn. */
  readonly outcomes: Array<{ arrival: ChatArrival, outcome: ChatOutcome }> = []
  /** Calls whose connection to the router broke, which only a lost router may cause. */
  broken = 0
  /** Highest delay of the bench's own timers, in milliseconds; a machine that can't keep up shows here. */
  worstDelayMs = 0
  /** Highest control traffic of a router between two samples a second apart, in bytes a second. */
  controlWorst = 0
  private readonly _options: FleetRunOptions
  private readonly _caller = new ChatCaller()
  private readonly _random: SeededRandom
  private readonly _controlBefore = new Map<string, number>()

  /**
   * @param options the fleet and the arrivals
   */
  constructor (options: FleetRunOptions) {
    this._options = options
    this.samples = new LoadSamples(options.bound)
    this._random = new SeededRandom(options.seed + 1)
  }

  /** Sends everything and resolves when all answers are there. */
  async run (): Promise<void> {
    const { arrivals, sampleMs, warmUpMs } = this._options
    const startedAt = performance.now()
    const end = arrivals.at(-1)?.at ?? 0
    const sampler = setInterval(() => {
      const at = performance.now() - startedAt
      if (at > warmUpMs && at < end) this.samples.take(this._options.faults.loads())
    }, sampleMs)
    const control = setInterval(() => this._readControl(performance.now() - startedAt > warmUpMs), 1_000)
    const calls: Array<Promise<void>> = []
    for (const arrival of arrivals) {
      const wait = arrival.at - (performance.now() - startedAt)
      if (wait > 1) await new Promise((resolve) => setTimeout(resolve, wait))
      this.worstDelayMs = Math.max(this.worstDelayMs, performance.now() - startedAt - arrival.at)
      calls.push(this._send(arrival))
    }
    clearInterval(sampler)
    clearInterval(control)
    await Promise.all(calls)
    await this._caller.close()
  }

  /** A line for some of the answers that were not right. */
  get faultLines (): string[] {
    const faulty = this.outcomes.filter(({ outcome }) => !outcome.correct)
    return faulty.slice(0, SHOWN_FAULTS).map(({ arrival, outcome }) => `at ${Math.round(arrival.at)} status ${outcome.status}: ${outcome.detail}`)
  }

  private async _send (arrival: ChatArrival): Promise<void> {
    const { fleet, warmUpMs } = this._options
    const router = this._random.below(fleet.routers.length)
    try {
      const outcome = await this._caller.call(fleet.callerAddress(router), arrival)
      if (arrival.at >= warmUpMs) this.outcomes.push({ arrival, outcome })
    } catch {
      this.broken += 1
    }
  }

  private _readControl (counts: boolean): void {
    for (const { process } of this._options.fleet.routers) {
      const before = this._controlBefore.get(process.id)
      const bytes = process.controlBytes
      this._controlBefore.set(process.id, bytes)
      if (counts && before !== undefined) this.controlWorst = Math.max(this.controlWorst, bytes - before)
    }
  }
}
