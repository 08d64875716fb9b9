import type { Clock } from '../clock.js'
import { SystemClock } from '../system-clock.js'

/** System clock that can jump forward, as observed by a process that was suspended. */
export class JumpingClock implements Clock {
  private readonly _system = new SystemClock()
  private _aheadMs = 0

  now (): number {
    return this._system.now() + this._aheadMs
  }

  wallNow (): number {
    return this._system.wallNow() + this._aheadMs
  }

  async sleep (ms: number, signal?: AbortSignal): Promise<void> {
    await this._system.sleep(ms, signal)
  }

  jump (ms: number): void {
    this._aheadMs += ms
  }
}
