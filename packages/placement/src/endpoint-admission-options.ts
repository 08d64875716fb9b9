import type { PlacementClock } from './placement-clock.js'

/** What the admission of an endpoint works with. */
export interface EndpointAdmissionOptions {
  /** Name of the endpoint, for refusals. */
  readonly endpoint: string
  /** Requests that the endpoint runs at once without queueing. */
  readonly capacity: number
  /**
   * Highest load that the endpoint may have after an admission, read anew for each.
   * @param hasContext whether the request's context is at the endpoint
   */
  readonly limit: (hasContext: boolean) => number
  /** Most requests that wait; more are refused. */
  readonly maximumQueued: number
  readonly clock: PlacementClock
}
