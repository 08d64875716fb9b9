import type { ElapsedClock } from '../model/elapsed-clock.js'
import type { FleetRetryBudgetOptions } from './fleet-retry-budget-options.js'

/** Fraction of the allowance that is divided among the routers; the rest covers membership changes within the window. */
const ALLOWANCE_FRACTION = 0.5
/** Fraction of the promised ratio that is used; the rest covers requests that are counted in another window. */
const RATIO_FRACTION = 0.6
/** Number of slices into which the window is divided. */
const SLICES = 10

/** Counts of one slice of the window. */
interface Slice {
  requests: number
  retries: number
}

/**
 * Retry budget of this router for one service. The retries of each router are limited to a fraction of its own requests
 * plus an equal share of the fixed allowance. The sum over the fleet stays within the fleet's bound without any
 * coordination per request.
 */
export class FleetRetryBudget {
  private readonly _options: () => FleetRetryBudgetOptions
  private readonly _clock: ElapsedClock
  private readonly _routerCount: () => number
  private _slices: Slice[] = createSlices()
  private _lastSlice = 0
  private _windowMs: number

  /**
   * @param options returns the upper bound for the whole fleet; it may change at any time, and what was counted holds on
   * @param clock assigns requests and retries to slices of the window
   * @param routerCount returns the number of routers that share the allowance
   */
  constructor (options: () => FleetRetryBudgetOptions, clock: ElapsedClock, routerCount: () => number) {
    this._options = options
    this._clock = clock
    this._routerCount = routerCount
    this._windowMs = options().windowMs
  }

  /** Counts a caller's request, which adds to the budget. */
  countRequest (): void {
    this._currentSlice().requests += 1
  }

  /** Takes one retry from the budget; returns false if the budget is exhausted. */
  take (): boolean {
    const { ratio, allowance } = this._options()
    const current = this._currentSlice()
    const requests = this._slices.reduce((sum, slice) => sum + slice.requests, 0)
    const retries = this._slices.reduce((sum, slice) => sum + slice.retries, 0)
    const fixed = allowance * ALLOWANCE_FRACTION / Math.max(1, this._routerCount())
    if (retries + 1 > requests * ratio * RATIO_FRACTION + fixed) return false
    current.retries += 1
    return true
  }

  private _currentSlice (): Slice {
    const { windowMs } = this._options()
    if (windowMs !== this._windowMs) this._changeWindow(windowMs)
    const slice = Math.floor(this._clock.now() / (windowMs / SLICES))
    const elapsed = Math.min(slice - this._lastSlice, SLICES)
    for (let step = 1; step <= elapsed; step += 1) {
      this._slices[(slice - elapsed + step) % SLICES] = { requests: 0, retries: 0 }
    }
    this._lastSlice = slice
    return this._slices[slice % SLICES] as Slice
  }

  /** Counts what was counted in the earlier window as if it were of the present moment: no part of it is forgotten too early. */
  private _changeWindow (windowMs: number): void {
    const slices = this._slices
    this._windowMs = windowMs
    this._slices = createSlices()
    this._lastSlice = Math.floor(this._clock.now() / (windowMs / SLICES))
    this._slices[this._lastSlice % SLICES] = {
      requests: slices.reduce((sum, { requests }) => sum + requests, 0),
      retries: slices.reduce((sum, { retries }) => sum + retries, 0)
    }
  }
}

function createSlices (): Slice[] {
  return Array.from({ length: SLICES }, () => ({ requests: 0, retries: 0 }))
}
