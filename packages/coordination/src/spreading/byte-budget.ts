import type { Clock } from '../clock.js'

/** Bounds the bytes sent a second, with a burst after a quiet time. */
export class ByteBudget {
  private readonly _clock: Clock
  private readonly _bytesPerSecond: number
  private readonly _burstBytes: number
  private _available: number
  private _filledAt: number

  /**
   * @param clock source of time
   * @param bytesPerSecond bytes that may be sent in the long run, a second
   * @param burstBytes bytes that may be sent at once
   */
  constructor (clock: Clock, bytesPerSecond: number, burstBytes: number) {
    this._clock = clock
    this._bytesPerSecond = bytesPerSecond
    this._burstBytes = burstBytes
    this._available = burstBytes
    this._filledAt = clock.now()
  }

  /** Whether something may be sent now; a single message may overdraw the budget. */
  get isOpen (): boolean {
    const now = this._clock.now()
    const filled = this._available + (now - this._filledAt) / 1_000 * this._bytesPerSecond
    this._available = Math.min(filled, this._burstBytes)
    this._filledAt = now
    return this._available > 0
  }

  /**
   * Counts what was sent.
   * @param bytes how many
   */
  spend (bytes: number): void {
    this._available -= bytes
  }
}
