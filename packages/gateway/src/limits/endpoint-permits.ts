/** Permits to send requests to one endpoint that has a rate limit. */
export interface EndpointPermits {
  /** Id of the endpoint. */
  readonly endpointId: string
  /** Number of requests. */
  readonly count: number
}
