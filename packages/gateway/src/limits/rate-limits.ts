import type { EndpointEntry } from '../model/endpoint-entry.js'

/** Rate limits of endpoints for all routers together, whatever they are based on. */
export interface RateLimits {
  /** Whether no endpoint has a limit, which holds nearly always. */
  readonly isEmpty: boolean
  /** Ids of the endpoints that have a limit. */
  readonly limitedIds: readonly string[]
  /**
   * Returns the requests a second that an endpoint takes from all routers together; undefined if it has no limit.
   * @param endpoint the endpoint
   */
  limitOf (endpoint: EndpointEntry): number | undefined
  /**
   * Returns the rate at which permits for an endpoint are issued, in requests a second; undefined if it needs none.
   * @param endpoint the endpoint
   */
  permitRateOf (endpoint: EndpointEntry): number | undefined
  /** Forgets limits that have ended. To be called regularly. */
  removeExpired (): void
}
