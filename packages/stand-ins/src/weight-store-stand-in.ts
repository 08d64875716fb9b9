import type { Clock } from '@mimosarock/coordination/clock.js'
import { SystemClock } from '@mimosarock/coordination/system-clock.js'

/** A weight store that gives one model after the other, at a limited rate. */
export class WeightStoreStandIn {
  /** Names of the models given so far, in order. */
  readonly fetched: string[] = []
  private readonly _clock: Clock
  private readonly _bytesPerSecond: number
  private readonly _modelBytes: number
  private _freeAt = -Infinity

  /**
   * @param bytesPerSecond rate shared by all engines
   * @param modelBytes size of every model
   * @param clock source of time; the machine's clock if left out
   */
  constructor (bytesPerSecond: number, modelBytes: number, clock: Clock = new SystemClock()) {
    this._bytesPerSecond = bytesPerSecond
    this._modelBytes = modelBytes
    this._clock = clock
  }

  /**
   * Resolves when the model has been given.
   * @param model name of the model
   * @param signal ends the wait; the rate stays used
   */
  async fetch (model: string, signal?: AbortSignal): Promise<void> {
    const now = this._clock.now()
    this._freeAt = Math.max(this._freeAt, now) + this._modelBytes / this._bytesPerSecond * 1_000
    await this._clock.sleep(this._freeAt - now, signal)
    if (!signal?.aborted) this.fetched.push(model)
  }
}
