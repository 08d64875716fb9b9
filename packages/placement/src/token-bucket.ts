import type { PlacementClock } from './placement-clock.js'

/** A rate with a burst: tokens flow in steadily and are taken in any number up to what is there. */
export class TokenBucket {
  private readonly _clock: PlacementClock
  private _perSecond: number
  private _burst: number
  private _tokens: number
  private _filledAt: number

  /**
   * @param perSecond tokens a second
   * @param burst most tokens kept; the bucket starts full
   * @param clock source of time
   */
  constructor (perSecond: number, burst: number, clock: PlacementClock) {
    this._perSecond = perSecond
    this._burst = burst
    this._clock = clock
    this._tokens = burst
    this._filledAt = clock.now()
  }

  /** Tokens that are there now. */
  get available (): number {
    this._fill()
    return this._tokens
  }

  /**
   * Changes the rate; tokens that are there stay, up to the new burst.
   * @param perSecond tokens a second
   * @param burst most tokens kept
   */
  setRate (perSecond: number, burst: number): void {
    this._fill()
    this._perSecond = perSecond
    this._burst = burst
    this._tokens = Math.min(this._tokens, burst)
  }

  /**
   * Takes tokens if all of them are there.
   * @param count how many
   * @returns whether they were taken
   */
  tryTake (count: number): boolean {
    this._fill()
    if (this._tokens < count) return false
    this._tokens -= count
    return true
  }

  /**
   * Takes what is there, in whole tokens.
   * @param count most tokens wanted
   * @returns how many were taken
   */
  takeUpTo (count: number): number {
    this._fill()
    const taken = Math.max(0, Math.min(count, Math.floor(this._tokens)))
    this._tokens -= taken
    return taken
  }

  /**
   * Time until tokens will be there, in milliseconds.
   * @param count how many
   */
  waitMs (count: number): number {
    this._fill()
    if (this._tokens >= count) return 0
    return this._perSecond > 0 ? (count - this._tokens) * 1_000 / this._perSecond : Infinity
  }

  private _fill (): void {
    const now = this._clock.now()
    this._tokens = Math.min(this._burst, this._tokens + (now - this._filledAt) * this._perSecond / 1_000)
    this._filledAt = now
  }
}
