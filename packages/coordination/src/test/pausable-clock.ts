import { SystemClock } from '../system-clock.js'

/** The machine's clock with timers that stand still while the process is taken for paused; `now` goes on. */
export class PausableClock extends SystemClock {
  private _resumed: Promise<void> = Promise.resolve()
  private _resume = (): void => {}

  /** Resolves when the process is not paused. */
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
