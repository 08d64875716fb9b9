import type { ElapsedClock } from '../model/elapsed-clock.js'
import { PermitTimes } from './permit-times.js'

const MS_PER_SECOND = 1_000

/** Permits for one endpoint that a router can issue: a token bucket that fills with time, or with what another router has issued. */
export class PermitPool {
  private readonly _clock: ElapsedClock
  private readonly _random: () => number
  private _level = 0
  private _accruedAt: number | undefined
  private _depositedAt = -Infinity

  /**
   * @param clock measures the time in which permits accrue
   * @param random returns a random number from 0 (inclusive) to 1 (exclusive)
   */
  constructor (clock: ElapsedClock, random: () => number) {
    this._clock = clock
    this._random = random
  }

  /** Number of permits that can be issued. */
  get available (): number {
    return Math.floor(this._level)
  }

  /**
   * Adds the permits of the time since the last call.
   * @param perSecond rate
   */
  accrue (perSecond: number): void {
    const now = this._clock.now()
    // Routers that lose each other at the same time would otherwise issue their first permits at the same time.
    if (this._accruedAt === undefined) this._level = Math.max(this._level, this._random())
    else this._level += perSecond * (now - this._accruedAt) / MS_PER_SECOND
    this._level = Math.min(this._level, 1 + perSecond * PermitTimes.BURST_MS / MS_PER_SECOND)
    this._accruedAt = now
  }

  /** Stops filling with time, and drops what was received too long ago. */
  stopAccruing (): void {
    if (this._clock.now() - this._depositedAt >= PermitTimes.DEPOSIT_LIFETIME_MS) this._level = 0
    this._accruedAt = undefined
  }

  /**
   * Adds permits that another router has issued.
   * @param count number of permits
   */
  deposit (count: number): void {
    this.stopAccruing()
    this._level += count
    this._depositedAt = this._clock.now()
  }

  /** Takes one permit; there has to be one. */
  take (): void {
    this._level -= 1
  }
}
