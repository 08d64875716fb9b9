import { uptime } from 'node:os'
import type { ElapsedClock } from '../model/elapsed-clock.js'

const MS_PER_SECOND = 1_000
/** Difference between the time of day and the steady clock that shows a suspension or a step; above timer noise. */
const DRIFT_MS = 30
/** Resolution of the uptime that the system tells. */
const UPTIME_RESOLUTION_MS = 10

/**
 * A clock that goes on while the VM is suspended. The steady clock stands still then, and the time of day may be
 * set; the system's uptime counts suspensions but is slow to read. So it is read only when the other two disagree.
 */
export class SuspensionAwareClock implements ElapsedClock {
  private _drift: number
  private _offset: number

  constructor () {
    this._drift = Date.now() - performance.now()
    this._offset = uptime() * MS_PER_SECOND - performance.now()
  }

  /** Milliseconds since the VM started, suspensions counted. */
  now (): number {
    const steady = performance.now()
    const drift = Date.now() - steady
    if (Math.abs(drift - this._drift) > DRIFT_MS) {
      this._drift = drift
      const offset = uptime() * MS_PER_SECOND - steady
      if (offset > this._offset + UPTIME_RESOLUTION_MS) this._offset = offset
    }
    return steady + this._offset
  }
}
