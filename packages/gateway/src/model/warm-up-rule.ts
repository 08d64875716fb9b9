/** How much a cold endpoint of a service takes. */
export interface WarmUpRule {
  /** Time for which an endpoint is cold after it starts, in milliseconds. */
  readonly durationMs: number
  /** Requests a second that a cold endpoint tolerates from all routers together. */
  readonly requestsPerSecond: number
}
