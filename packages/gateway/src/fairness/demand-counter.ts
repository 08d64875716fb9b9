import { DecayingCounter } from '../admission/decaying-counter.js'
import type { ElapsedClock } from '../model/elapsed-clock.js'

/** Counts arriving and admitted requests. */
export class DemandCounter {
  private readonly _arrivals: DecayingCounter
  private readonly _admissions: DecayingCounter

  /**
   * @param clock measures the age of requests
   */
  constructor (clock: ElapsedClock) {
    this._arrivals = new DecayingCounter(clock)
    this._admissions = new DecayingCounter(clock)
  }

  /** Requests that arrive, a second. */
  get arrivalsPerSecond (): number {
    return this._arrivals.perSecond
  }

  /** Requests that are admitted, a second. */
  get admittedPerSecond (): number {
    return this._admissions.perSecond
  }

  /** Counts a request that arrives. */
  countArrival (): void {
    this._arrivals.increment()
  }

  /** Counts a request that is admitted. */
  countAdmission (): void {
    this._admissions.increment()
  }
}
