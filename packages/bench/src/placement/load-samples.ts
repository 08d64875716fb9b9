import type { AdmissionBound } from '@mimosarock/placement/admission-bound.js'

/** Gathers loads of a pool's engines at equal intervals. */
export class LoadSamples {
  private readonly _bound: AdmissionBound
  private _samples = 0
  private _over = 0
  private _worst = 1
  private _loads = 0

  /**
   * @param bound the bound of the pool
   */
  constructor (bound: AdmissionBound) {
    this._bound = bound
  }

  /** Highest load over mean load of any sample. */
  get skewWorst (): number {
    return this._worst
  }

  /** Share of samples in which an engine passed the promised multiple of the mean by more than one request. */
  get shareOverBound (): number {
    return this._over / Math.max(this._samples, 1)
  }

  /** Mean load of an engine over the samples. */
  get meanLoad (): number {
    return this._loads / Math.max(this._samples, 1)
  }

  /** Number of samples. */
  get count (): number {
    return this._samples
  }

  /**
   * Takes a sample.
   * @param loads load of each engine in service
   */
  take (loads: readonly number[]): void {
    const mean = loads.reduce((sum, load) => sum + load, 0) / loads.length
    if (!(mean > 0)) return
    const highest = Math.max(...loads)
    this._samples += 1
    this._loads += mean
    this._worst = Math.max(this._worst, highest / mean)
    if (this._bound.isExceeded(highest, mean, 1)) this._over += 1
  }
}
