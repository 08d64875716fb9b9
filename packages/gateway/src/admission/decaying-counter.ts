import type { ElapsedClock } from '../model/elapsed-clock.js'

/** Half-life of an event's weight, in milliseconds; of the same order as the rise and fall of a surge. */
const HALF_LIFE_MS = 1_000
const MS_PER_SECOND = 1_000

/** Counts events with weights that decay exponentially over time. */
export class DecayingCounter {
  private readonly _clock: ElapsedClock
  private _count = 0
  private _updatedAt: number

  /**
   * @param clock measures the age of events
   */
  constructor (clock: ElapsedClock) {
    this._clock = clock
    this._updatedAt = clock.now()
  }

  /** Sum of the decayed weights; an event that has just been counted weighs 1. */
  get value (): number {
    const now = this._clock.now()
    this._count *= 2 ** ((this._updatedAt - now) / HALF_LIFE_MS)
    this._updatedAt = now
    return this._count
  }

  /** Estimated events per second; exact for a steady rate. */
  get perSecond (): number {
    // A steady rate converges to a sum of the rate times the half-life divided by ln 2.
    return this.value * Math.LN2 * MS_PER_SECOND / HALF_LIFE_MS
  }

  /** Counts one event. */
  increment (): void {
    this.add(1)
  }

  /**
   * Counts events.
   * @param count number of events
   */
  add (count: number): void {
    this._count = this.value + count
  }
}
