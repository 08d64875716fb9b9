/** What an endpoint last reported of its load. */
export interface LoadReport {
  /** Requests that run. */
  readonly running: number
  /** Requests in the endpoint's own queue. */
  readonly waiting: number
  /** Requests that it runs at once without queueing. */
  readonly capacity: number
  /** Tokens in its prefix cache; 0 for plain services. */
  readonly cachedTokens: number
  /** Tokens that the cache can hold; 0 for plain services. */
  readonly cacheLimitTokens: number
  /** When it arrived, in monotonic milliseconds. */
  readonly receivedAt: number
}
