import type { ElapsedClock } from '../model/elapsed-clock.js'

/** Age from which an attempt is judged by its progress. */
const JUDGED_AFTER_MS = 300
/** Interval at which it is judged. */
const JUDGING_INTERVAL_MS = 100
/** Time without progress from which it is slow. */
const STALLED_AFTER_MS = 250
/** Time that the rest of the answer may take at the rate so far, if it is not slow. */
const MAXIMUM_REST_MS = 300

/** One attempt to transfer a change of the configuration from a source. */
export class TransferAttempt {
  private readonly _clock: ElapsedClock
  private readonly _startedAt: number
  private readonly _abortController = new AbortController()
  private readonly _judging: NodeJS.Timeout
  private _receivedPart = 0
  private _progressedAt: number

  /**
   * Starts the time of the attempt.
   * @param clock clock of the router
   * @param onSlow called once when the attempt has become slow
   */
  constructor (clock: ElapsedClock, onSlow: () => void) {
    this._clock = clock
    this._startedAt = clock.now()
    this._progressedAt = this._startedAt
    this._judging = setInterval(() => this._judge(onSlow), JUDGING_INTERVAL_MS)
  }

  /** Aborts the call of the attempt. */
  get signal (): AbortSignal {
    return this._abortController.signal
  }

  /** Whether the attempt is no longer needed. */
  get isAborted (): boolean {
    return this.signal.aborted
  }

  /** Milliseconds since the start. */
  get elapsedMs (): number {
    return this._clock.now() - this._startedAt
  }

  /** Whether the answer has not arrived in time, and has stalled or would take long at the rate so far. */
  get isSlow (): boolean {
    if (this.elapsedMs < JUDGED_AFTER_MS) return false
    const isStalled = this._clock.now() - this._progressedAt >= STALLED_AFTER_MS
    const restMs = this.elapsedMs * (1 - this._receivedPart) / this._receivedPart
    return isStalled || !(restMs <= MAXIMUM_REST_MS)
  }

  /**
   * Records that a part of the answer has arrived.
   * @param receivedPart received part of the whole answer, from 0 to 1
   */
  recordProgress (receivedPart: number): void {
    this._receivedPart = receivedPart
    this._progressedAt = this._clock.now()
  }

  /** Aborts the call, since its change is no longer needed. */
  abort (): void {
    this._abortController.abort()
  }

  /** Stops judging; to be called when the call has ended. */
  end (): void {
    clearInterval(this._judging)
  }

  private _judge (onSlow: () => void): void {
    if (!this.isSlow) return
    clearInterval(this._judging)
    onSlow()
  }
}
