import type { Clock } from '../clock.js'

/** Token bucket that limits the bytes sent per second and allows bursts. */
export class ByteBudget {
  private readonly _clock: Clock
  private readonly _bytesPerSecond: number
  private readonly _burstBytes: number
  private _available: number
  private _refilledAt: number

  /**
   * Creates a full bucket.
   * @param clock monotonic time by which the bucket is refilled
   * @param bytesPerSecond refill rate
   * @param burstBytes capacity of the bucket
   */
  constructor (clock: Clock, bytesPerSecond: number, burstBytes: number) {
    this._clock = clock
    this._bytesPerSecond = bytesPerSecond
    this._burstBytes = burstBytes
    this._available = burstBytes
    this._refilledAt = clock.now()
  }

  /** Whether a message may be sent now. A message may be sent while any budget remains, even if the message is larger. */
  get hasTokens (): boolean {
    const now = this._clock.now()
    const filled = this._available + (now - this._refilledAt) / 1_000 * this._bytesPerSecond
    this._available = Math.min(filled, this._burstBytes)
    this._refilledAt = now
    return this._available > 0
  }

  /**
   * Takes the bytes of a sent message from the bucket.
   * @param bytes size of the message
   */
  spend (bytes: number): void {
    this._available -= bytes
  }
}
