import type { RouteKind } from './route-kind.js'
import type { ServiceShare } from './service-share.js'

/** Services and limits for requests of one host and path prefix. */
export interface Route {
  /** Name, unique in the configuration. */
  readonly name: string
  /** Host name that callers send in the Host header. */
  readonly host: string
  /** Path prefix, with a slash at both ends. */
  readonly pathPrefix: string
  /** Whether requests may run more than once; decides which failures are retried. */
  readonly kind: RouteKind
  /** Services that run the requests, with their weights. */
  readonly shares: readonly ServiceShare[]
  /** Timeout of a whole request, in milliseconds. */
  readonly timeoutMs: number
  /** Latency objective, in milliseconds; limits how long requests are queued. */
  readonly objectiveMs: number
  /** Maximum number of endpoints that one caller attempt may run on. */
  readonly maximumAttempts: number
  /** Priority; 0 is the most urgent. */
  readonly priority: number
  /** Whether the route needs no API key. */
  readonly isPublic: boolean
  /** Whether a broken stream may be resumed at another endpoint. */
  readonly isResumable: boolean
  /** Regions in which alone requests may run; undefined if they may run everywhere, empty if nowhere. */
  readonly homeRegions?: readonly string[] | undefined
  /** Whether the list of regions is malformed; `homeRegions` is then the last valid one, or empty if none is known. */
  readonly hasInvalidHomeRegions?: boolean | undefined
}
