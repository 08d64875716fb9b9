import type { Clock } from '@mimosarock/coordination/clock.js'
import type { ConfigurationSource } from '@mimosarock/coordination/configuration-source.js'
import type { EventLog } from '@mimosarock/coordination/event-log.js'
import type { EntryPlacement } from '../entry/entry-placement.js'
import type { PoolOrder } from '../entry/pool-order.js'
import type { EndpointDispatch } from '../forward/endpoint-dispatch.js'
import type { RouterMetrics } from '../status/router-metrics.js'
import type { WorkspaceLimiter } from '../limits/workspace-limiter.js'

/** What answering chats needs. */
export interface ChatHandlerOptions {
  readonly configuration: ConfigurationSource
  readonly gate: WorkspaceLimiter
  readonly order: PoolOrder
  readonly placement: EntryPlacement
  readonly dispatch: EndpointDispatch
  readonly clock: Clock
  readonly eventLog: EventLog
  readonly metrics: RouterMetrics
  /** Largest body, held whole so that the chat can be placed again. */
  readonly maximumBodyBytes: number
  /** Bound on the wait for a slow caller, in milliseconds. */
  readonly drainTimeoutMs: number
}
