import type { LoadView } from '../choice/load-view.js'
import type { FleetPermits } from '../limits/fleet-permits.js'
import type { Homes } from '../homes/homes.js'
import type { EndpointEntry } from '../model/endpoint-entry.js'

/** Inputs of a `FleetConcurrencyLimit`. */
export interface FleetConcurrencyLimitOptions {
  /** Requests in flight, of this router and of the rest of the fleet. */
  readonly loads: LoadView
  /** Returns a random number from 0 (inclusive) to 1 (exclusive). */
  readonly random: () => number
  /** Returns the number of live routers, including this one. */
  readonly routerCount: () => number
  /**
   * Returns the endpoints that can take requests now.
   * @param service name of the service
   * @param homes regions of the endpoints; undefined for all of them
   */
  readonly availableEndpoints: (service: string, homes?: Homes) => readonly EndpointEntry[]
  /** Returns whether some requests have home regions; undefined if none ever have. */
  readonly hasHomes?: (() => boolean) | undefined
  /** Returns the region of an endpoint, or a name of its own for a zone without one; undefined if no requests ever have home regions. */
  readonly regionOf?: ((endpoint: EndpointEntry) => string) | undefined
  /** Permits for requests to endpoints with a rate limit; undefined if endpoints have none. */
  readonly permits?: Pick<FleetPermits, 'isNeeded' | 'heldFor'> | undefined
  /** Returns the time of a monotonic clock, in milliseconds. */
  readonly now: () => number
  /**
   * Returns the mean time that a request of a service takes, in milliseconds; undefined if it is not known.
   * @param service name of the service
   * @param homes regions in which alone the requests may run; undefined if they may run everywhere
   */
  readonly serviceMs: (service: string, homes?: Homes) => number | undefined
}
