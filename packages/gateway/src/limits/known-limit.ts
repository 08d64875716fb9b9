/** What an endpoint was last known to state about its rate limit. */
export interface KnownLimit {
  /** Start of the incarnation that stated it. */
  readonly startedAt: number
  /** Requests a second that it takes from all routers together; undefined if it no longer states a limit. */
  readonly requestsPerSecond: number | undefined
  /** Time at which a router read the statement, by the clock of this router. */
  readonly observedAt: number
  /** Time at which this router last heard it, from the endpoint or from another router. */
  readonly heardAt: number
  /** Whether this router has it from the router that it follows, and need not report it there. */
  readonly isFromUpstream: boolean
}
