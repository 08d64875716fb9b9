import type { Clock } from '@mimosarock/coordination/clock.js'
import type { EventLog } from '@mimosarock/coordination/event-log.js'
import type { TrafficCounter } from '@mimosarock/coordination/membership/traffic-counter.js'
import type { LoadReport } from '../admission/load-report.js'

/** What the watch of one endpoint works with. */
export interface EndpointWatchOptions {
  /** IP number and port of the endpoint. */
  readonly address: string
  /** Whether it is a model engine, which publishes cache events. */
  readonly publishesCacheEvents: boolean
  readonly clock: Clock
  readonly eventLog: EventLog
  readonly traffic: TrafficCounter
  readonly connectTimeoutMs: number
  /** Pause between probes, each with a load report, in milliseconds. */
  readonly pollMs: number
  /** Called after each load report. */
  readonly onLoadReport: (report: LoadReport) => void
  /**
   * Called after each probe.
   * @param healthy whether the endpoint answered that it takes work
   */
  readonly onProbe: (healthy: boolean) => void
}
