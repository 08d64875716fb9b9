import type { Clock } from '@mimosarock/coordination/clock.js'
import type { ConfigurationSource } from '@mimosarock/coordination/configuration-source.js'
import type { EventLog } from '@mimosarock/coordination/event-log.js'
import type { EntryPlacement } from '../entry/entry-placement.js'
import type { PoolOrder } from '../entry/pool-order.js'
import type { EndpointDispatch } from '../forward/endpoint-dispatch.js'
import type { RouterMetrics } from '../status/router-metrics.js'
import type { WorkspaceLimiter } from '../limits/workspace-limiter.js'

/** Dependencies and limits of the chat handler. */
export interface ChatHandlerOptions {
  readonly configuration: ConfigurationSource
  readonly limiter: WorkspaceLimiter
  readonly order: PoolOrder
  readonly placement: EntryPlacement
  readonly dispatch: EndpointDispatch
  readonly clock: Clock
  readonly eventLog: EventLog
  readonly metrics: RouterMetrics
  /** Maximum size of a request body, which is buffered so that the chat can be placed again. */
  readonly maximumBodyBytes: number
  /** Timeout of a write to a slow caller, in milliseconds. */
  readonly drainTimeoutMs: number
}
