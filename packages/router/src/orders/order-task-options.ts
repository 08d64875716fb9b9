import type { Clock } from '@mimosarock/coordination/clock.js'
import type { AuditTrail } from '@mimosarock/coordination/configuration/audit-trail.js'
import type { ConfigurationSource } from '@mimosarock/coordination/configuration-source.js'
import type { EventLog } from '@mimosarock/coordination/event-log.js'
import type { LeaseHolder } from '@mimosarock/coordination/leases/lease-holder.js'
import type { EngineOrderClient } from './engine-order-client.js'

/** Options of `OrderTask`. */
export interface OrderTaskOptions {
  readonly lease: Pick<LeaseHolder, 'current' | 'resign'>
  readonly configuration: ConfigurationSource
  readonly client: EngineOrderClient
  readonly auditTrail: Pick<AuditTrail, 'record'>
  readonly clock: Clock
  readonly eventLog: EventLog
  /** Id of this router, recorded as the actor of its orders. */
  readonly routerId: string
  /** Returns whether an endpoint may get orders: failed endpoints may, endpoints that are leaving may not. */
  readonly isUsable: (pool: string, endpoint: string) => boolean
  /** Pause between two passes, in milliseconds. */
  readonly passIntervalMs: number
  /** Timeout for one call to an engine, in milliseconds. */
  readonly callTimeoutMs: number
  /** Time since the last response of an engine after which it counts as lost, in milliseconds. */
  readonly lostAfterMs: number
  /** Maximum number of models that load from the weight store concurrently, over all pools. */
  readonly maximumLoads: number
}
