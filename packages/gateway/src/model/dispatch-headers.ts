/** What the router tells an endpoint besides the caller's own headers. */
export interface DispatchHeaders {
  /** Identity of the endpoint that is meant. */
  readonly endpointId: string
  /** Time left, in milliseconds. */
  readonly deadlineMs: number | undefined
  /** Workspace of the caller; undefined on public routes. */
  readonly workspace: string | undefined
  /** Rank among the endpoint's requests; 0 is the most urgent. */
  readonly priority: number
  /** Endpoint that holds parts of the prompt, host:port. */
  readonly contextHolder: string | undefined
  /** Last event that the caller has; set when a stream is resumed. */
  readonly lastEventId: string | undefined
}
