import type { LoadByEndpoint } from './load-by-endpoint.js'

/** Requests that one router has in flight, as it reported them. */
export interface LoadReport {
  /** Name of the router. */
  readonly router: string
  /** Time since it made the report, in milliseconds. */
  readonly ageMs: number
  /** Its requests in flight. */
  readonly load: LoadByEndpoint
}
