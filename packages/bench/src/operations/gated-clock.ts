import type { Clock } from '@mimosarock/coordination/clock.js'
import type { PauseGate } from './pause-gate.js'

/** Clock whose timers do not fire while a gate is closed. Time still advances, as it does for a paused process. */
export class GatedClock implements Clock {
  private readonly _clock: Clock
  private readonly _gate: PauseGate

  /**
   * @param clock source of time and timers
   * @param gate blocks the timers while it is closed
   */
  constructor (clock: Clock, gate: PauseGate) {
    this._clock = clock
    this._gate = gate
  }

  /** Returns the time of the monotonic clock, in milliseconds. */
  now (): number {
    return this._clock.now()
  }

  /** Returns the wall-clock time, in milliseconds since the epoch. */
  wallNow (): number {
    return this._clock.wallNow()
  }

  /**
   * Waits, then continues to wait while the gate is closed.
   * @param ms minimum time to wait, in milliseconds
   * @param signal ends the sleep early, but not the wait for the gate
   */
  async sleep (ms: number, signal?: AbortSignal): Promise<void> {
    await this._clock.sleep(ms, signal)
    await this._gate.pass()
  }
}
