import type { Clock } from '@mimosarock/coordination/clock.js'
import type { ConfigurationSource } from '@mimosarock/coordination/configuration-source.js'
import type { EntryPlacement } from '../entry/entry-placement.js'
import type { PoolOrder } from '../entry/pool-order.js'
import type { KeyedCall } from '../operations/keyed-call.js'
import type { WorkspaceLimiter } from '../limits/workspace-limiter.js'

/** Dependencies and limits of the handler for plain services. */
export interface ServiceHandlerOptions {
  readonly configuration: ConfigurationSource
  readonly limiter: WorkspaceLimiter
  readonly order: PoolOrder
  /** Places repeatable calls through the routers that own the endpoints. */
  readonly placement: EntryPlacement
  /** Places non-repeatable calls without forwarding them, after their idempotency keys have been won in the ledger. */
  readonly directPlacement: EntryPlacement
  readonly keyedCall: KeyedCall
  readonly clock: Clock
  /** Maximum size of a request body. */
  readonly maximumBodyBytes: number
  /** Maximum size of a buffered request body. Larger ones are streamed, or rejected if the call is not repeatable. */
  readonly maximumBufferedBodyBytes: number
  /** Timeout of a write to a slow caller, in milliseconds. */
  readonly drainTimeoutMs: number
}
