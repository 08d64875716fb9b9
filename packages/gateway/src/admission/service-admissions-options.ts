import type { PlacementClock } from '@mimosarock/placement/placement-clock.js'
import type { QueueFairness } from '../fairness/queue-fairness.js'
import type { RateLimit } from './rate-limit.js'

/** Settings and dependencies of the admission control of all services. */
export interface ServiceAdmissionsOptions {
  /** Source of time and timers. */
  readonly clock: PlacementClock
  /**
   * Returns the maximum number of requests of a service that this router may have in flight.
   * @param service name of the service
   */
  readonly limitOf: (service: string) => number
  /** Returns the maximum number of requests that this process may have in flight over all services. */
  readonly processLimit: () => number
  /**
   * Returns the rate limits of the endpoints of a service.
   * @param service name of the service
   */
  readonly rateLimitOf: (service: string) => RateLimit
  /**
   * Returns the fairness between workspaces in the queue of a service.
   * @param service name of the service
   */
  readonly fairnessOf: (service: string) => QueueFairness
  /** Returns a random number from 0 (inclusive) to 1 (exclusive), which jitters the retry delays of rejected callers. */
  readonly random: () => number
}
