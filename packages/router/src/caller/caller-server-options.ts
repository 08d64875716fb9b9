import type { Clock } from '@mimosarock/coordination/clock.js'
import type { EventLog } from '@mimosarock/coordination/event-log.js'
import type { RouterMetrics } from '../status/router-metrics.js'
import type { ExchangeHandler } from './exchange-handler.js'

/** Address, bounds and handlers of the callers' server. */
export interface CallerServerOptions {
  /** IP number and port; port 0 lets the system pick. */
  readonly address: string
  /** Largest header section of a request. */
  readonly maximumHeaderBytes: number
  /** Longest time in which a caller sends its header section, in milliseconds. */
  readonly headerTimeoutMs: number
  /** Longest time in which a caller sends its whole request, in milliseconds. */
  readonly bodyTimeoutMs: number
  readonly clock: Clock
  readonly eventLog: EventLog
  readonly metrics: RouterMetrics
  readonly chats: ExchangeHandler
  readonly services: ExchangeHandler
  readonly models: ExchangeHandler
  readonly status: ExchangeHandler
}
