/**
 * Limits retries to a ratio of the successful requests, which prevents retries from amplifying an overload.
 */
export class RetryBudget {
  private readonly _share: number
  private readonly _maximum: number
  private _tokens: number

  /**
   * @param share retries granted per successful request, for example 0.1
   * @param maximum maximum number of saved retries; the budget starts full
   */
  constructor (share: number, maximum: number) {
    this._share = share
    this._maximum = maximum
    this._tokens = maximum
  }

  /** Number of retries currently permitted. */
  get available (): number {
    return Math.floor(this._tokens)
  }

  /** Records a successful request. */
  recordSuccess (): void {
    this._tokens = Math.min(this._maximum, this._tokens + this._share)
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
