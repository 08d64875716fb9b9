import type { ElapsedClock } from '../model/elapsed-clock.js'
import type { FleetRetryBudgetOptions } from './fleet-retry-budget-options.js'

/** Part of the fleet's allowance that is shared out; the rest covers routers that came and went in the window. */
const ALLOWANCE_SHARE = 0.5
/** Part of the promised ratio that is used; the rest covers requests that are counted in another window. */
const RATIO_SHARE = 0.6
/** Parts into which the window is cut. */
const SLICES = 10

/** Counts of one slice of the window. */
interface Slice {
  requests: number
  retries: number
}

/**
 * This router's part of the fleet's retry budget for one service. Each router spends a share of its own requests and
 * an equal part of the fixed allowance, so that the sum keeps the fleet's bound without a call for each request.
 */
export class FleetRetryBudget {
  private readonly _options: FleetRetryBudgetOptions
  private readonly _clock: ElapsedClock
  private readonly _routers: () => number
  private readonly _slices: Slice[] = Array.from({ length: SLICES }, () => ({ requests: 0, retries: 0 }))
  private _slice = 0

  /**
   * @param options the fleet's bound
   * @param clock places requests in the window
   * @param routers number of routers that share the allowance
   */
  constructor (options: FleetRetryBudgetOptions, clock: ElapsedClock, routers: () => number) {
    this._options = options
    this._clock = clock
    this._routers = routers
  }

  /** Counts a request that a caller sent. */
  countRequest (): void {
    this._current().requests += 1
  }

  /** Takes one retry; false if the budget is spent. */
  take (): boolean {
    const current = this._current()
    const requests = this._slices.reduce((sum, slice) => sum + slice.requests, 0)
    const retries = this._slices.reduce((sum, slice) => sum + slice.retries, 0)
    const fixed = this._options.allowance * ALLOWANCE_SHARE / Math.max(1, this._routers())
    if (retries + 1 > requests * this._options.ratio * RATIO_SHARE + fixed) return false
    current.retries += 1
    return true
  }

  private _current (): Slice {
    const slice = Math.floor(this._clock.now() / (this._options.windowMs / SLICES))
    const passed = Math.min(slice - this._slice, SLICES)
    for (let step = 1; step <= passed; step += 1) {
      this._slices[(slice - passed + step) % SLICES] = { requests: 0, retries: 0 }
    }
    this._slice = slice
    return this._slices[slice % SLICES] as Slice
  }
}
