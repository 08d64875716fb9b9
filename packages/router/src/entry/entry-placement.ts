import type { CallPlan } from './call-plan.js'
import type { EntryPlacementOptions } from './entry-placement-options.js'
import type { PlacedCall } from './placed-call.js'
import { CallPlacement } from './call-placement.js'

/** Places the calls of this router's callers at the endpoints of their pools. */
export class EntryPlacement {
  private readonly _options: EntryPlacementOptions

  /**
   * @param options dispatch, retry policy and other dependencies
   */
  constructor (options: EntryPlacementOptions) {
    this._options = options
  }

  /**
   * Places a call and resolves when an endpoint has sent the head of its response.
   * @param plan the call, its candidate endpoints and its deadline
   * @param signal aborts the call
   * @throws {MimosarockError} NO_ENDPOINT without candidates, OVERLOADED if all candidates refuse and none queues the
   * call, otherwise the last refusal; the run state covers all attempts
   */
  async place (plan: CallPlan, signal: AbortSignal): Promise<PlacedCall> {
    return await new CallPlacement(this._options, plan, signal).run()
  }
}
