/** Statement of an endpoint about its rate limit, as one router tells it to another. */
export interface LimitNote {
  /** Id of the endpoint. */
  readonly endpointId: string
  /** Start of the incarnation that stated it. */
  readonly startedAt: number
  /** Requests a second that it takes from all routers together; undefined if it no longer states a limit. */
  readonly requestsPerSecond?: number | undefined
  /** Milliseconds since a router read the statement. */
  readonly ageMs: number
}
