/** HTTP request to an endpoint. */
export interface EndpointCallRequest {
  /** Id of the request, which the endpoint repeats in its response. */
  readonly id: string
  /** HTTP method. */
  readonly method: string
  /** Path and query, exactly as the caller sent them. */
  readonly path: string
  /** Alternating header names and values. */
  readonly headers: string[]
  /** Whether the request may run more than once. */
  readonly isIdempotent: boolean
  /** Complete body. */
  readonly body: Buffer
}
