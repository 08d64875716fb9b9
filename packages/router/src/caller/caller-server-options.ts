import type { Clock } from '@mimosarock/coordination/clock.js'
import type { EventLog } from '@mimosarock/coordination/event-log.js'
import type { RouterMetrics } from '../status/router-metrics.js'
import type { ExchangeHandler } from './exchange-handler.js'

/** Address, limits and handlers of the server for callers. */
export interface CallerServerOptions {
  /** IP address and port; port 0 selects a free port. */
  readonly address: string
  /** Maximum size of the header section of a request. */
  readonly maximumHeaderBytes: number
  /** Timeout for receiving the header section of a request, in milliseconds. */
  readonly headerTimeoutMs: number
  /** Timeout for receiving the entire request, in milliseconds. */
  readonly bodyTimeoutMs: number
  readonly clock: Clock
  readonly eventLog: EventLog
  readonly metrics: RouterMetrics
  readonly chats: ExchangeHandler
  readonly services: ExchangeHandler
  readonly models: ExchangeHandler
  readonly status: ExchangeHandler
}
