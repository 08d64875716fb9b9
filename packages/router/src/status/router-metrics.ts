import { collectDefaultMetrics, Counter, Gauge, Histogram, Registry } from 'prom-client'

/** Upper bounds of the buckets of the time-to-head histogram; they include the target of 0.89 s. */
const TIME_TO_HEAD_BUCKETS_SECONDS = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.89, 2, 5, 15, 60]

/** Metrics of one router. No label holds a workspace or a chat, since their numbers are unbounded. */
export class RouterMetrics {
  /** Registry of all metrics that `/metrics` returns. */
  readonly registry = new Registry()
  /** Time from the head of a request to the head of its response, in seconds. */
  readonly timeToHead = new Histogram({
    name: 'mimosarock_time_to_head_seconds',
    help: 'Time from the head of a request to the head of its answer.',
    buckets: TIME_TO_HEAD_BUCKETS_SECONDS,
    registers: [this.registry]
  })

  /** Requests of callers in flight. */
  readonly requestsInFlight = new Gauge({
    name: 'mimosarock_requests_in_flight',
    help: 'Requests of callers that have no whole answer yet.',
    registers: [this.registry]
  })

  /** Number of streams that were resumed on a new connection. */
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
   * Counts the result of a request.
   * @param code result code; 0 for a response that was passed on to the caller
   */
  countResult (code: number): void {
    this._results.inc({ code: String(code) })
  }

  /**
   * Registers a gauge whose value is read whenever the metrics are collected.
   * @param name name of the metric, with its unit at the end
   * @param help description of the metric
   * @param read returns the current value
   */
  registerGauge (name: string, help: string, read: () => number): void {
    const gauge: Gauge = new Gauge({
      name,
      help,
      registers: [this.registry],
      collect: () => gauge.set(read())
    })
  }

  /** Registers the default Node.js metrics of the process. */
  registerProcessMetrics (): void {
    collectDefaultMetrics({ register: this.registry })
  }
}
