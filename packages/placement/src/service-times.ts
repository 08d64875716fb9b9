/** Weight of a new sample in the moving means. */
const SAMPLE_WEIGHT = 0.1

/** Moving means of how long an endpoint takes, for judging whether a wait is worth it. */
export class ServiceTimes {
  private _serviceMs = 0
  private _firstByteMs = 0

  /** Mean time from admission to release, in milliseconds; 0 before the first sample. */
  get serviceMs (): number {
    return this._serviceMs
  }

  /** Mean time from admission to the first byte, in milliseconds; 0 before the first sample. */
  get firstByteMs (): number {
    return this._firstByteMs
  }

  /**
   * Notes the time from an admission to its release.
   * @param ms the time, in milliseconds
   */
  noteService (ms: number): void {
    this._serviceMs = this._blend(this._serviceMs, ms)
  }

  /**
   * Notes the time from an admission to the first byte of its answer.
   * @param ms the time, in milliseconds
   */
  noteFirstByte (ms: number): void {
    this._firstByteMs = this._blend(this._firstByteMs, ms)
  }

  private _blend (mean: number, sample: number): number {
    if (mean === 0) return sample
    return mean + (sample - mean) * SAMPLE_WEIGHT
  }
}
