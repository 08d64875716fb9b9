import type { EndpointTable } from '../membership/endpoint-table.js'
import type { ElapsedClock } from '../model/elapsed-clock.js'
import type { RateLimits } from './rate-limits.js'

/** Inputs of `FleetPermits`. */
export interface FleetPermitsOptions {
  /** Name of this router. */
  readonly router: string
  /** Registered endpoints. */
  readonly endpoints: EndpointTable
  /** Their limits. */
  readonly limits: RateLimits
  /** Returns the number of live routers, including this one. */
  readonly routerCount: () => number
  /** Clock of the router. */
  readonly clock: ElapsedClock
  /** Returns a random number from 0 (inclusive) to 1 (exclusive). */
  readonly random: () => number
}
