/** Request Timeout, Misdirected Request, Too Many Requests and Service Unavailable. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503])

/**
 * Returns whether a status promises a caller that its request has not run and never will run. Callers then send even a
 * request again that must not run twice.
 * @param status HTTP status of a response
 */
export function promisesNotRun (status: number): boolean {
  return NOT_RUN_STATUSES.has(status)
}
