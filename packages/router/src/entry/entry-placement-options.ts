import type { Clock } from '@mimosarock/coordination/clock.js'
import type { EndpointDispatch } from '../forward/endpoint-dispatch.js'
import type { RetryPolicy } from '../retries/retry-policy.js'
import type { DisplacementListener } from './displacement-listener.js'

/** Options of `EntryPlacement`. */
export interface EntryPlacementOptions {
  readonly dispatch: EndpointDispatch
  readonly displacement: DisplacementListener
  readonly retryPolicy: RetryPolicy
  readonly clock: Clock
}
