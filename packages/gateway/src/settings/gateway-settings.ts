import type { PropagationBounds } from '../membership/propagation-bounds.js'

/** Settings of a router process. */
export interface GatewaySettings {
  /** Name of the VM. */
  readonly name: string
  /** Availability zone of the VM. */
  readonly availabilityZone: string
  /** Listen address for callers, host:port. */
  readonly callers: string
  /** Listen address for readiness probes, host:port. */
  readonly readiness: string
  /** Listen address for calls between routers, host:port. */
  readonly peers: string
  /** Listen address for metrics, host:port; undefined to disable them. */
  readonly metrics: string | undefined
  /** Peer addresses of routers to contact first at startup, host:port. */
  readonly seeds: readonly string[]
  /** Address of the platform's store, host:port. */
  readonly store: string
  /** Region of the VM; undefined if the settings name none. */
  readonly region: string | undefined
  /** Region of each availability zone, by name of the zone. */
  readonly regions: Readonly<Record<string, string>>
  /** Memory limit of the process, in bytes; undefined if the settings state none. */
  readonly memoryBytes: number | undefined
  /** Maximum number of file descriptors of the process. */
  readonly fileDescriptors: number
  /** Grace period for shutdown, in milliseconds; the process is killed after it. */
  readonly stopGraceMs: number
  /** Staleness of API keys above which requests that need one are rejected, in milliseconds; 0 for no limit. */
  readonly keyAgeLimitMs: number
  /** Bounds within which changes of the endpoints and of the configuration have to be known. */
  readonly propagationBounds: PropagationBounds
  /** Retry budget of the fleet, as a fraction of a service's requests. */
  readonly retryRatio: number
  /** Retries that the fleet may send in each window in addition to the fraction `retryRatio`. */
  readonly retryAllowance: number
  /** Length of the window of the retry budget, in milliseconds. */
  readonly retryWindowMs: number
  /** Upper bound of an endpoint's load, as a multiple of the mean load in its service. */
  readonly loadBoundFactor: number
  /** Requests that may arrive at a cold endpoint in any second, as a multiple of its warm-up rate, in addition to `warmUpTolerance`. */
  readonly warmUpOverage: number
  /** Requests that may arrive at a cold endpoint in any second in addition to the multiple `warmUpOverage` of its rate. */
  readonly warmUpTolerance: number
  /** Maximum length of a response of an endpoint, in bytes; a longer one is cut off. */
  readonly maximumResponseBytes: number
  /** Whether services with fewer slots than the fleet has routers are served by slot grants. */
  readonly grantsSlots: boolean
  /** Whether endpoints that fail much more requests than the others of their service are ejected for some time. */
  readonly ejectsOutliers: boolean
}
