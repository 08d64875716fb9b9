/** One run of load that a worker makes. */
export interface LoadOrder {
  /** IP number and port to send to. */
  readonly address: string
  readonly path: string
  readonly headers: Readonly<Record<string, string>>
  readonly body: string
  readonly durationMs: number
  /** Requests in flight at once, where no rate is given; connections otherwise. */
  readonly concurrency: number
  /** Requests a second, at random times; as many as `concurrency` allows if left out. */
  readonly ratePerSecond?: number
  readonly seed: number
  /** Text that every whole answer ends with; others count as wrong. */
  readonly expectedEnd: string
}
