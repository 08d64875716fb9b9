import type { PlacementClock } from '@mimosarock/placement/placement-clock.js'
import type { QueueFairness } from '../fairness/queue-fairness.js'
import type { RateLimit } from './rate-limit.js'

/** Settings and dependencies of the admission control of one service. */
export interface ServiceAdmissionOptions {
  /** Name of the service, for error messages. */
  readonly service: string
  /** Source of time and timers. */
  readonly clock: PlacementClock
  /** Returns the maximum number of requests in flight. */
  readonly limit: () => number
  /** Rate limits of the endpoints; undefined if they have none. */
  readonly rateLimit?: RateLimit | undefined
  /** Called when a request was released, to admit queued ones; undefined if no other queue uses the same endpoints. */
  readonly onReleased?: (() => void) | undefined
  /** Returns the number of requests in flight at the endpoints; undefined if all of them are requests of this queue. */
  readonly inFlightAtEndpoints?: (() => number) | undefined
  /** Fairness between workspaces over all routers; undefined to queue all requests. */
  readonly fairness?: QueueFairness | undefined
  /** Returns a random number from 0 (inclusive) to 1 (exclusive), which jitters the retry delays of rejected callers. */
  readonly random: () => number
}
