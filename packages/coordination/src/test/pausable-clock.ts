import { SystemClock } from '../system-clock.js'

/** System clock whose timers stop while the process is simulated as suspended; `now` continues. */
export class PausableClock extends SystemClock {
  private _resumed: Promise<void> = Promise.resolve()
  private _resume = (): void => {}

  /** Resolves when the simulated process is running. */
  get resumed (): Promise<void> {
    return this._resumed
  }

  pause (): void {
    this._resumed = new Promise((resolve) => { this._resume = resolve })
  }

  resume (): void {
    this._resume()
  }

  override async sleep (ms: number, signal?: AbortSignal): Promise<void> {
    await super.sleep(ms, signal)
    if (signal?.aborted !== true) await this._resumed
  }
}
