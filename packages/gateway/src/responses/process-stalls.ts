import { pause } from '../membership/pause.js'
import type { ElapsedClock } from '../model/elapsed-clock.js'

/** Interval at which the process notices that it runs, in milliseconds. */
const CHECK_INTERVAL_MS = 250
/** Time for which nothing was read from any connection, in milliseconds, from which endpoints may have cut off their responses. */
const MINIMUM_STALL_MS = 1_000

/** Notices times in which the process stood still, for example because its VM was suspended, and read nothing that was sent to it. */
export class ProcessStalls {
  private readonly _clock: ElapsedClock
  private _checkedAt: number
  private _lastStallEndedAt = -Infinity

  /**
   * @param clock clock that also advances while the VM is suspended
   */
  constructor (clock: ElapsedClock) {
    this._clock = clock
    this._checkedAt = clock.now()
  }

  /**
   * Looks for stalls until aborted.
   * @param signal ends the task
   */
  async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.check()
      await pause(CHECK_INTERVAL_MS, signal)
    }
  }

  /** Looks whether the process has stood still since the previous look. */
  check (): void {
    const now = this._clock.now()
    if (this._isStalledUntil(now)) this._lastStallEndedAt = now
    this._checkedAt = now
  }

  /**
   * Whether the process has stood still since a time; a stall that has just ended may not have been noticed by the task yet.
   * @param timeMs time of the clock
   */
  hasStalledSince (timeMs: number): boolean {
    const now = this._clock.now()
    return this._lastStallEndedAt > timeMs || (this._isStalledUntil(now) && now > timeMs)
  }

  private _isStalledUntil (now: number): boolean {
    return now - this._checkedAt >= MINIMUM_STALL_MS
  }
}
