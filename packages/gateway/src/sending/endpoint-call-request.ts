/** What is sent to an endpoint. */
export interface EndpointCallRequest {
  /** Identity of the caller's attempt. */
  readonly id: string
  /** HTTP method. */
  readonly method: string
  /** Path and query, as the caller sent them. */
  readonly path: string
  /** Header names and values in turn. */
  readonly headers: string[]
  /** The whole body. */
  readonly body: Buffer
}
