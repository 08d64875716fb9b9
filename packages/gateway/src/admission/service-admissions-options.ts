import type { PlacementClock } from '@mimosarock/placement/placement-clock.js'
import type { QueueFairness } from '../fairness/queue-fairness.js'
import type { Homes } from '../homes/homes.js'
import type { RateLimit } from './rate-limit.js'

/** Settings and dependencies of the admission control of all services. */
export interface ServiceAdmissionsOptions {
  /** Source of time and timers. */
  readonly clock: PlacementClock
  /**
   * Returns the maximum number of requests of a service that this router may have in flight.
   * @param service name of the service
   * @param homes regions in which alone the requests may run; undefined if they may run everywhere
   */
  readonly limitOf: (service: string, homes?: Homes) => number
  /**
   * Returns the number of requests that this router has in flight at the endpoints of a service in some regions.
   * @param service name of the service
   * @param homes the regions
   */
  readonly loadAt: (service: string, homes: Homes) => number
  /** Returns the maximum number of requests that this process may have in flight over all services. */
  readonly processLimit: () => number
  /**
   * Returns the rate limits of the endpoints of a service.
   * @param service name of the service
   * @param homes regions in which alone the requests may run; undefined if they may run everywhere
   */
  readonly rateLimitOf: (service: string, homes?: Homes) => RateLimit
  /**
   * Returns the fairness between workspaces in a queue of a service.
   * @param service name of the service
   * @param homes regions in which alone the requests may run; undefined if they may run everywhere
   */
  readonly fairnessOf: (service: string, homes?: Homes) => QueueFairness
  /** Returns a random number from 0 (inclusive) to 1 (exclusive), which jitters the retry delays of rejected callers. */
  readonly random: () => number
}
