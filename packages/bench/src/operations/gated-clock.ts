import type { Clock } from '@mimosarock/coordination/clock.js'
import type { PauseGate } from './pause-gate.js'

/** A clock whose timers do not fire while a gate is closed; its time goes on, as in a paused process. */
export class GatedClock implements Clock {
  private readonly _clock: Clock
  private readonly _gate: PauseGate

  /**
   * @param clock gives the time
   * @param gate holds the timers
   */
  constructor (clock: Clock, gate: PauseGate) {
    this._clock = clock
    this._gate = gate
  }

  /** Milliseconds of the monotonic clock. */
  now (): number {
    return this._clock.now()
  }

  /** Milliseconds since the epoch. */
  wallNow (): number {
    return this._clock.wallNow()
  }

  /**
   * Waits.
   * @param ms how long, in milliseconds
   * @param signal ends the wait early
   */
  async sleep (ms: number, signal?: AbortSignal): Promise<void> {
    await this._clock.sleep(ms, signal)
    await this._gate.pass()
  }
}
