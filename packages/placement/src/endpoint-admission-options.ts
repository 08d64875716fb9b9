import type { PlacementClock } from './placement-clock.js'

/** Options of an `EndpointAdmission`. */
export interface EndpointAdmissionOptions {
  /** Name of the endpoint, for error messages. */
  readonly endpoint: string
  /** Number of requests that the endpoint runs concurrently without queueing. */
  readonly capacity: number
  /**
   * Returns the maximum load that the endpoint may have after an admission. Evaluated at every admission.
   * @param hasContext whether the request's context is cached at the endpoint
   */
  readonly limit: (hasContext: boolean) => number
  /** Maximum queue length. When it is reached, either the new request or one that it evicts is refused. */
  readonly maximumQueued: number
  readonly clock: PlacementClock
}
