/** Settings of a router process. */
export interface GatewaySettings {
  /** Name of the VM. */
  readonly name: string
  /** Availability zone. */
  readonly availabilityZone: string
  /** Address for callers, host:port. */
  readonly callers: string
  /** Address for readiness probes, host:port. */
  readonly readiness: string
  /** Address for calls between routers, host:port. */
  readonly peers: string
  /** Address for metrics, host:port; undefined for none. */
  readonly metrics: string | undefined
  /** Peer addresses of some routers. */
  readonly seeds: readonly string[]
  /** Address of the platform's store, host:port. */
  readonly store: string
  /** File descriptors that the process may open. */
  readonly fileDescriptors: number
  /** Time within which a stopped process must end, in milliseconds. */
  readonly stopGraceMs: number
  /** Age of the keys above which requests that need one are refused, in milliseconds; 0 for never. */
  readonly keyAgeLimitMs: number
  /** Share of a service's requests that may be sent once more, over the whole fleet. */
  readonly retryRatio: number
  /** Requests that may be sent once more beside that share, over the whole fleet. */
  readonly retryAllowance: number
  /** Window in which retries are counted, in milliseconds. */
  readonly retryWindowMs: number
  /** Promised bound of an endpoint's load, as a multiple of its service's mean. */
  readonly loadBoundFactor: number
}
