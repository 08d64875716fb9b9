import type { Clock } from '@mimosarock/coordination/clock.js'
import type { RetryBudget } from '@mimosarock/placement/retry-budget.js'
import type { EndpointDispatch } from '../forward/endpoint-dispatch.js'
import type { DisplacementListener } from './displacement-listener.js'

/** What placing a call needs. */
export interface EntryPlacementOptions {
  readonly dispatch: EndpointDispatch
  readonly displacement: DisplacementListener
  readonly retryBudget: RetryBudget
  readonly clock: Clock
}
