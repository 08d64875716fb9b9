import { collectDefaultMetrics, Counter, Gauge, Histogram, Registry } from 'prom-client'

/** Bounds of the time-to-head histogram, in seconds; the target of 0.89 s is one of them. */
const HEAD_SECONDS = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.89, 2, 5, 15, 60]

/** The metrics of one router. No label takes a workspace or a chat, whose number is unbounded. */
export class RouterMetrics {
  /** Everything that /metrics shows. */
  readonly registry = new Registry()
  /** Time from a request's head to the head of its answer, in seconds. */
  readonly timeToHead = new Histogram({
    name: 'mimosarock_time_to_head_seconds',
    help: 'Time from the head of a request to the head of its answer.',
    buckets: HEAD_SECONDS,
    registers: [this.registry]
  })

  /** Requests in flight for callers. */
  readonly requestsInFlight = new Gauge({
    name: 'mimosarock_requests_in_flight',
    help: 'Requests of callers that have no whole answer yet.',
    registers: [this.registry]
  })

  /** Streams that were resumed on a new connection. */
  readonly resumptions = new Counter({
    name: 'mimosarock_stream_resumptions_total',
    help: 'Streams that were resumed on a new connection.',
    registers: [this.registry]
  })

  private readonly _results = new Counter({
    name: 'mimosarock_results_total',
    help: 'Requests of callers by numbered result.',
    labelNames: ['code'] as const,
    registers: [this.registry]
  })

  /**
   * Counts a request's result.
   * @param code the numbered result; 0 for an answer that was passed on
   */
  countResult (code: number): void {
    this._results.inc({ code: String(code) })
  }

  /**
   * Shows a value that is read when metrics are asked for.
   * @param name with its unit at the end
   * @param help what it means
   * @param read gives the value
   */
  observe (name: string, help: string, read: () => number): void {
    const gauge: Gauge = new Gauge({
      name,
      help,
      registers: [this.registry],
      collect: () => gauge.set(read())
    })
  }

  /** Adds the figures of the process itself. */
  observeProcess (): void {
    collectDefaultMetrics({ register: this.registry })
  }
}
