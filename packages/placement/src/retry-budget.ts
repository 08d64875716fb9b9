/**
 * Bounds retries to a share of the calls that succeed, so that retries can't multiply an overload.
 */
export class RetryBudget {
  private readonly _share: number
  private readonly _maximum: number
  private _tokens: number

  /**
   * @param share retries granted for each success, for example 0.1
   * @param maximum most retries kept in reserve; the budget starts with them
   */
  constructor (share: number, maximum: number) {
    this._share = share
    this._maximum = maximum
    this._tokens = maximum
  }

  /** Retries that may be made now. */
  get available (): number {
    return Math.floor(this._tokens)
  }

  /** Notes a call that succeeded. */
  noteSuccess (): void {
    this._tokens = Math.min(this._maximum, this._tokens + this._share)
  }

  /**
   * Takes one retry.
   * @returns whether there was one
   */
  tryTake (): boolean {
    if (this._tokens < 1) return false
    this._tokens -= 1
    return true
  }
}
