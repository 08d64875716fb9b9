/** Fraction of the promised load bound at which an endpoint is skipped; the rest is a margin for late load reports. */
const BOUND_FRACTION = 0.8
/** Requests that an endpoint may have in flight in addition to the multiple of the mean load. */
const BOUND_SLACK_REQUESTS = 2

/**
 * Returns the number of requests in flight from which on an endpoint is skipped while others can take a request.
 * @param mean mean number of requests in flight at an endpoint of the service
 * @param factor promised upper bound on an endpoint's load, as a multiple of the mean
 */
export function loadBound (mean: number, factor: number): number {
  return mean * factor * BOUND_FRACTION + BOUND_SLACK_REQUESTS
}
