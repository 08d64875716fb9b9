/** The latest load report of an endpoint. */
export interface LoadReport {
  /** Number of requests that the endpoint executes. */
  readonly running: number
  /** Number of requests in the endpoint's own queue. */
  readonly waiting: number
  /** Number of requests that the endpoint executes concurrently without queueing. */
  readonly capacity: number
  /** Number of tokens in the endpoint's prefix cache; 0 for plain services. */
  readonly cachedTokens: number
  /** Capacity of the prefix cache in tokens; 0 for plain services. */
  readonly cacheLimitTokens: number
  /** Time at which the report was received, in monotonic milliseconds. */
  readonly receivedAt: number
}
