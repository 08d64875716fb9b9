import type { ElapsedClock } from '../model/elapsed-clock.js'
import { pause } from './pause.js'

/** Pause between two rounds of a task, which can be ended early. */
export class RoundPause {
  private readonly _clock: ElapsedClock
  private _pausing = new AbortController()
  private _earlyEnd: NodeJS.Timeout | undefined
  private _startedAt = -Infinity

  /**
   * @param clock measures the time since the last round
   */
  constructor (clock: ElapsedClock) {
    this._clock = clock
  }

  /** Time since the end of the last round, in milliseconds. */
  get sinceRoundMs (): number {
    return this._clock.now() - this._startedAt
  }

  /** Prepares for a round. The pause after it is skipped if it is ended before it starts. */
  beginRound (): void {
    this._pausing = new AbortController()
  }

  /** Records the end of a round. */
  endRound (): void {
    this._startedAt = this._clock.now()
  }

  /**
   * Waits until the next round is due.
   * @param ms length of the pause
   */
  async wait (ms: number): Promise<void> {
    await pause(ms, this._pausing.signal)
  }

  /** Ends the pause. */
  end (): void {
    this._pausing.abort()
  }

  /**
   * Ends the pause as soon as the last round was a given time ago.
   * @param intervalMs time from the end of the last round
   */
  endAfter (intervalMs: number): void {
    if (this._earlyEnd !== undefined) return
    this._earlyEnd = setTimeout(() => {
      this._earlyEnd = undefined
      this.end()
    }, Math.max(0, intervalMs - this.sinceRoundMs))
  }

  /** Ends the pause for good. */
  close (): void {
    this.end()
    clearTimeout(this._earlyEnd)
  }
}
