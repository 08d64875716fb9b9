import type { EndpointTable } from '../membership/endpoint-table.js'
import type { ElapsedClock } from '../model/elapsed-clock.js'
import type { RateLimits } from './rate-limits.js'

/** Inputs of a `PermitIssuer`. */
export interface PermitIssuerOptions {
  /** Registered endpoints. */
  readonly endpoints: EndpointTable
  /** Their limits. */
  readonly limits: RateLimits
  /** Returns the number of live routers, including this one. */
  readonly routerCount: () => number
  /** Returns whether this router gets permits from another one that it follows. If not, it issues them by itself. */
  readonly isFollowing: () => boolean
  /** Clock of the router. */
  readonly clock: ElapsedClock
  /** Returns a random number from 0 (inclusive) to 1 (exclusive). */
  readonly random: () => number
}
