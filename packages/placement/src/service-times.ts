/** Weight of a new sample in the exponential moving averages. */
const SAMPLE_WEIGHT = 0.1

/** Exponential moving averages of an endpoint's service times, for estimating queueing delays. */
export class ServiceTimes {
  private _serviceMs = 0
  private _firstByteMs = 0

  /** Mean service time, from admission to release, in milliseconds; 0 before the first sample. */
  get serviceMs (): number {
    return this._serviceMs
  }

  /** Mean time to first byte, measured from admission, in milliseconds; 0 before the first sample. */
  get firstByteMs (): number {
    return this._firstByteMs
  }

  /**
   * Records the time from the admission of a request to its release.
   * @param ms elapsed time, in milliseconds
   */
  recordServiceTime (ms: number): void {
    this._serviceMs = this._movingMean(this._serviceMs, ms)
  }

  /**
   * Records the time from the admission of a request to the first byte of its response.
   * @param ms elapsed time, in milliseconds
   */
  recordFirstByte (ms: number): void {
    this._firstByteMs = this._movingMean(this._firstByteMs, ms)
  }

  private _movingMean (mean: number, sample: number): number {
    if (mean === 0) return sample
    return mean + (sample - mean) * SAMPLE_WEIGHT
  }
}
