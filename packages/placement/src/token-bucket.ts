import type { PlacementClock } from './placement-clock.js'

/** Token bucket: a rate limiter that refills at a constant rate up to a burst size. */
export class TokenBucket {
  private readonly _clock: PlacementClock
  private _perSecond: number
  private _burst: number
  private _tokens: number
  private _refilledAt: number

  /**
   * @param perSecond refill rate, in tokens per second
   * @param burst maximum number of tokens in the bucket; the bucket starts full
   * @param clock monotonic clock for the refill
   */
  constructor (perSecond: number, burst: number, clock: PlacementClock) {
    this._perSecond = perSecond
    this._burst = burst
    this._clock = clock
    this._tokens = burst
    this._refilledAt = clock.now()
  }

  /** Number of tokens currently available; may be fractional. */
  get available (): number {
    this._refill()
    return this._tokens
  }

  /**
   * Changes the refill rate. Retains the available tokens up to the new burst size.
   * @param perSecond refill rate, in tokens per second
   * @param burst maximum number of tokens in the bucket
   */
  setRate (perSecond: number, burst: number): void {
    this._refill()
    this._perSecond = perSecond
    this._burst = burst
    this._tokens = Math.min(this._tokens, burst)
  }

  /**
   * Consumes tokens if enough are available, and none otherwise.
   * @param count number of tokens
   * @returns whether the tokens were consumed
   */
  tryTake (count: number): boolean {
    this._refill()
    if (this._tokens < count) return false
    this._tokens -= count
    return true
  }

  /**
   * Consumes as many whole tokens as are available.
   * @param count maximum number of tokens
   * @returns number of tokens consumed
   */
  takeUpTo (count: number): number {
    this._refill()
    const taken = Math.max(0, Math.min(count, Math.floor(this._tokens)))
    this._tokens -= taken
    return taken
  }

  /**
   * Returns the time until a number of tokens is available, in milliseconds; `Infinity` if too few are available and
   * the refill rate is 0.
   * @param count number of tokens
   */
  waitMs (count: number): number {
    this._refill()
    if (this._tokens >= count) return 0
    return this._perSecond > 0 ? (count - this._tokens) * 1_000 / this._perSecond : Infinity
  }

  private _refill (): void {
    const now = this._clock.now()
    this._tokens = Math.min(this._burst, this._tokens + (now - this._refilledAt) * this._perSecond / 1_000)
    this._refilledAt = now
  }
}
