/** Requests to send in one load run. */
export interface LoadOptions {
  /** IP address and port to send to. */
  readonly address: string
  readonly path: string
  readonly headers: Readonly<Record<string, string>>
  readonly body: string
  readonly durationMs: number
  /** Number of connections; if no rate is given, also the number of requests in flight at once. */
  readonly concurrency: number
  /**
   * Mean rate of requests that are sent at random times, whether or not responses have arrived (open loop). If absent,
   * each connection sends its next request when it has received a response (closed loop).
   */
  readonly ratePerSecond?: number
  readonly seed: number
  /** Text that every complete response ends with; any other response counts as failed. */
  readonly expectedEnd: string
}
