import type { AdmissionBound } from '@mimosarock/placement/admission-bound.js'

/** Accumulates statistics over samples of the loads of a pool's engines. */
export class LoadSamples {
  private readonly _bound: AdmissionBound
  private _sampleCount = 0
  private _samplesOverBound = 0
  private _maximumSkew = 1
  private _meanLoadSum = 0

  /**
   * @param bound upper bound on the load of an engine of the pool
   */
  constructor (bound: AdmissionBound) {
    this._bound = bound
  }

  /** Maximum ratio of the highest to the mean load in a sample. */
  get skewWorst (): number {
    return this._maximumSkew
  }

  /** Share of samples in which an engine exceeded the guaranteed multiple of the mean load by more than one request. */
  get shareOverBound (): number {
    return this._samplesOverBound / Math.max(this._sampleCount, 1)
  }

  /** Mean load of an engine, averaged over the samples. */
  get meanLoad (): number {
    return this._meanLoadSum / Math.max(this._sampleCount, 1)
  }

  /** Number of samples, excluding those in which no engine had any load. */
  get count (): number {
    return this._sampleCount
  }

  /**
   * Adds a sample; ignores it if no engine has any load.
   * @param loads load of each engine that accepts requests
   */
  record (loads: readonly number[]): void {
    const mean = loads.reduce((sum, load) => sum + load, 0) / loads.length
    if (!(mean > 0)) return
    const highest = Math.max(...loads)
    this._sampleCount += 1
    this._meanLoadSum += mean
    this._maximumSkew = Math.max(this._maximumSkew, highest / mean)
    if (this._bound.isExceeded(highest, mean, 1)) this._samplesOverBound += 1
  }
}
