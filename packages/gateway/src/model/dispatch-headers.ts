/** Values that the router sends to an endpoint in addition to the caller's own headers. */
export interface DispatchHeaders {
  /** Id of the endpoint that the request is meant for. */
  readonly endpointId: string
  /** Time left until the deadline, in milliseconds. */
  readonly deadlineMs: number | undefined
  /** Name of the caller's workspace; undefined on public routes. */
  readonly workspace: string | undefined
  /** Priority among the endpoint's requests; 0 is the most urgent. */
  readonly priority: number
  /** Address of an endpoint to copy cached context of the prompt from, host:port; undefined if there is none. */
  readonly contextHolder: string | undefined
  /** Id of the last event sent to the caller; set only when a stream is resumed. */
  readonly lastEventId: string | undefined
}
