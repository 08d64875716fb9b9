import type { Clock } from '@mimosarock/coordination/clock.js'
import type { EventLog } from '@mimosarock/coordination/event-log.js'
import type { TrafficCounter } from '@mimosarock/coordination/membership/traffic-counter.js'
import type { LoadReport } from '../admission/load-report.js'

/** Options of `EndpointWatch`. */
export interface EndpointWatchOptions {
  /** IP address and port of the endpoint. */
  readonly address: string
  /** Whether the endpoint is a model engine, which publishes cache events. */
  readonly publishesCacheEvents: boolean
  readonly clock: Clock
  readonly eventLog: EventLog
  readonly traffic: TrafficCounter
  readonly connectTimeoutMs: number
  /** Pause between two health probes, in milliseconds. A read of the load report follows each successful probe. */
  readonly pollMs: number
  /** Called after each valid load report. */
  readonly onLoadReport: (report: LoadReport) => void
  /**
   * Called after each probe.
   * @param healthy whether `/healthz` responded with status 200
   */
  readonly onProbe: (healthy: boolean) => void
}
