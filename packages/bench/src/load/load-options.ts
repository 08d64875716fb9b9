/** Requests to send in one run of load. */
export interface LoadOptions {
  /** IP address and port to send to. */
  readonly address: string
  readonly path: string
  readonly headers: Readonly<Record<string, string>>
  readonly body: string
  readonly durationMs: number
  /** Number of connections; if no rate is given, also the number of requests in flight at once. */
  readonly concurrency: number
  /** Mean requests per second, sent at random times; without it, each response is followed by the next request. */
  readonly ratePerSecond?: number
  readonly seed: number
  /** Text that every complete response ends with; any other response counts as failed. */
  readonly expectedEnd: string
}
