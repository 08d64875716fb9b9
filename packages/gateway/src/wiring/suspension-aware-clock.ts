import { uptime } from 'node:os'
import type { ElapsedClock } from '../model/elapsed-clock.js'

const MS_PER_SECOND = 1_000
/** Change in the difference between wall clock and monotonic clock that shows a suspension or a clock step; above timer noise. */
const DRIFT_THRESHOLD_MS = 30
/** Resolution of the uptime that the operating system reports. */
const UPTIME_RESOLUTION_MS = 10

/**
 * Monotonic clock that advances while the VM is suspended. Node's monotonic clock stops during a suspension, and the
 * wall clock may be stepped; the uptime of the operating system includes suspensions but is slow to read. It is
 * therefore read only when the difference between the other two has changed.
 */
export class SuspensionAwareClock implements ElapsedClock {
  private _drift: number
  private _offset: number

  constructor () {
    this._drift = Date.now() - performance.now()
    this._offset = uptime() * MS_PER_SECOND - performance.now()
  }

  /** Returns the milliseconds since the VM started, suspensions included. */
  now (): number {
    const monotonic = performance.now()
    const drift = Date.now() - monotonic
    if (Math.abs(drift - this._drift) > DRIFT_THRESHOLD_MS) {
      this._drift = drift
      const offset = uptime() * MS_PER_SECOND - monotonic
      if (offset > this._offset + UPTIME_RESOLUTION_MS) this._offset = offset
    }
    return monotonic + this._offset
  }
}
