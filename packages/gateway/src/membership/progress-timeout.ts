import type { TimeLimits } from './time-limits.js'

/**
 * Timeout of a call that lasts as long as its response keeps arriving. A limit of the total time alone would have to be
 * long enough for the slowest link, and would then notice a dead peer late.
 */
export class ProgressTimeout {
  private readonly _abortController = new AbortController()
  private readonly _progressTimer: NodeJS.Timeout
  private readonly _totalTimer: NodeJS.Timeout

  /**
   * Starts the timeout.
   * @param limits limits of the call
   */
  constructor ({ progressMs, totalMs }: TimeLimits) {
    this._progressTimer = setTimeout(() => this._abort(`nothing arrived for ${progressMs} ms`), progressMs)
    this._totalTimer = setTimeout(() => this._abort(`the call took more than ${totalMs} ms`), totalMs)
  }

  /** Aborts when a limit is exceeded. */
  get signal (): AbortSignal {
    return this._abortController.signal
  }

  /** Records that a part of the response has arrived. */
  recordProgress (): void {
    this._progressTimer.refresh()
  }

  /** Stops the timeout; to be called when the call has ended. */
  stop (): void {
    clearTimeout(this._progressTimer)
    clearTimeout(this._totalTimer)
  }

  private _abort (reason: string): void {
    this._abortController.abort(new Error(reason))
  }
}
