import type { Clock } from '@mimosarock/coordination/clock.js'
import { SystemClock } from '@mimosarock/coordination/system-clock.js'

/** Simulates a weight store that transfers one model at a time, at a limited rate. */
export class WeightStoreStandIn {
  /** Names of the models transferred so far, in order of completion. */
  readonly fetched: string[] = []
  private readonly _clock: Clock
  private readonly _bytesPerSecond: number
  private readonly _modelBytes: number
  private _availableAt = -Infinity

  /**
   * @param bytesPerSecond transfer rate, shared by all engines
   * @param modelBytes size of each model, in bytes
   * @param clock times the transfers; the system clock by default
   */
  constructor (bytesPerSecond: number, modelBytes: number, clock: Clock = new SystemClock()) {
    this._bytesPerSecond = bytesPerSecond
    this._modelBytes = modelBytes
    this._clock = clock
  }

  /**
   * Resolves when a model has been transferred. Transfers are served in order of their calls.
   * @param model name of the model
   * @param signal aborts the wait; the transfer still uses its time
   */
  async fetch (model: string, signal?: AbortSignal): Promise<void> {
    const now = this._clock.now()
    this._availableAt = Math.max(this._availableAt, now) + this._modelBytes / this._bytesPerSecond * 1_000
    await this._clock.sleep(this._availableAt - now, signal)
    if (!signal?.aborted) this.fetched.push(model)
  }
}
