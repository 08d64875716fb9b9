import type { RouteKind } from './route-kind.js'
import type { ServiceShare } from './service-share.js'

/** Where requests of a host and path prefix go, and what they may take. */
export interface Route {
  /** Name, unique in the configuration. */
  readonly name: string
  /** Host that callers name. */
  readonly host: string
  /** Beginning of the path, with a slash at both ends. */
  readonly pathPrefix: string
  /** What may be repeated. */
  readonly kind: RouteKind
  /** Services that run the requests. */
  readonly shares: readonly ServiceShare[]
  /** Longest time that a caller is kept waiting, in milliseconds. */
  readonly timeoutMs: number
  /** Latency objective, in milliseconds. */
  readonly objectiveMs: number
  /** Highest number of endpoints that one caller attempt may run on. */
  readonly maximumAttempts: number
  /** Rank; 0 is the most urgent. */
  readonly priority: number
  /** Whether no key is needed. */
  readonly isPublic: boolean
  /** Whether a broken stream may go on at another endpoint. */
  readonly isResumable: boolean
}
