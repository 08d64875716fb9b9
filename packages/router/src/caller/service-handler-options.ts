import type { Clock } from '@mimosarock/coordination/clock.js'
import type { ConfigurationSource } from '@mimosarock/coordination/configuration-source.js'
import type { EntryPlacement } from '../entry/entry-placement.js'
import type { PoolOrder } from '../entry/pool-order.js'
import type { KeyedCall } from '../operations/keyed-call.js'
import type { WorkspaceLimiter } from '../limits/workspace-limiter.js'

/** What answering calls to plain services needs. */
export interface ServiceHandlerOptions {
  readonly configuration: ConfigurationSource
  readonly gate: WorkspaceLimiter
  readonly order: PoolOrder
  /** Places calls that may be repeated, through the endpoints' owners. */
  readonly placement: EntryPlacement
  /** Places calls that may not be repeated, straight from this router, which holds their key. */
  readonly directPlacement: EntryPlacement
  readonly keyedCall: KeyedCall
  readonly clock: Clock
  /** Largest body taken. */
  readonly maximumBodyBytes: number
  /** Largest body held whole. */
  readonly maximumKeptBodyBytes: number
  /** Bound on the wait for a slow caller, in milliseconds. */
  readonly drainTimeoutMs: number
}
