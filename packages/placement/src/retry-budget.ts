/**
 * Limits retries to a ratio of the successful requests, which prevents retries from amplifying an overload.
 */
export class RetryBudget {
  private readonly _ratio: number
  private readonly _maximum: number
  private _tokens: number

  /**
   * @param ratio retries granted per successful request, for example 0.1
   * @param maximum maximum number of retries in the budget, which starts full
   */
  constructor (ratio: number, maximum: number) {
    this._ratio = ratio
    this._maximum = maximum
    this._tokens = maximum
  }

  /** Number of retries currently permitted. */
  get available (): number {
    return Math.floor(this._tokens)
  }

  /** Records a successful request. */
  recordSuccess (): void {
    this._tokens = Math.min(this._maximum, this._tokens + this._ratio)
  }

  /**
   * Consumes one retry if the budget permits it.
   * @returns whether the retry is permitted
   */
  tryTake (): boolean {
    if (this._tokens < 1) return false
    this._tokens -= 1
    return true
  }
}
