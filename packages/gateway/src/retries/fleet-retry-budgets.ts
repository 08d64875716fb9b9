import type { ElapsedClock } from '../model/elapsed-clock.js'
import { FleetRetryBudget } from './fleet-retry-budget.js'
import type { FleetRetryBudgetOptions } from './fleet-retry-budget-options.js'

/** Retry budgets of this router, one for each service. */
export class FleetRetryBudgets {
  private readonly _options: () => FleetRetryBudgetOptions
  private readonly _clock: ElapsedClock
  private readonly _routerCount: () => number
  private readonly _budgets = new Map<string, FleetRetryBudget>()

  /**
   * @param options returns the upper bound for the whole fleet, of each service; it may change at any time
   * @param clock assigns requests and retries to slices of the window
   * @param routerCount returns the number of routers that share the allowance
   */
  constructor (options: () => FleetRetryBudgetOptions, clock: ElapsedClock, routerCount: () => number) {
    this._options = options
    this._clock = clock
    this._routerCount = routerCount
  }

  /**
   * Returns the budget of a service.
   * @param service name of the service
   */
  get (service: string): FleetRetryBudget {
    let budget = this._budgets.get(service)
    if (budget === undefined) {
      budget = new FleetRetryBudget(this._options, this._clock, this._routerCount)
      this._budgets.set(service, budget)
    }
    return budget
  }
}
