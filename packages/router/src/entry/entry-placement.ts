import type { CallPlan } from './call-plan.js'
import type { EntryPlacementOptions } from './entry-placement-options.js'
import type { PlacedCall } from './placed-call.js'
import { PlacementWalk } from './placement-walk.js'

/** Places calls at the endpoints of their pools. */
export class EntryPlacement {
  private readonly _options: EntryPlacementOptions

  /**
   * @param options what it works with
   */
  constructor (options: EntryPlacementOptions) {
    this._options = options
  }

  /**
   * Places the call and resolves when the head of an answer is there.
   * @param plan the call, its endpoints and its deadline
   * @param signal ends the call
   * @throws {MimosarockError} the last refusal, with the run state of the whole call
   */
  async place (plan: CallPlan, signal: AbortSignal): Promise<PlacedCall> {
    return await new PlacementWalk(this._options, plan, signal).run()
  }
}
