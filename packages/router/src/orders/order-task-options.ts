import type { Clock } from '@mimosarock/coordination/clock.js'
import type { AuditTrail } from '@mimosarock/coordination/configuration/audit-trail.js'
import type { ConfigurationSource } from '@mimosarock/coordination/configuration-source.js'
import type { EventLog } from '@mimosarock/coordination/event-log.js'
import type { LeaseHolder } from '@mimosarock/coordination/leases/lease-holder.js'
import type { EngineOrderClient } from './engine-order-client.js'

/** What giving orders works with. */
export interface OrderTaskOptions {
  readonly lease: Pick<LeaseHolder, 'current' | 'resign'>
  readonly configuration: ConfigurationSource
  readonly client: EngineOrderClient
  readonly auditTrail: Pick<AuditTrail, 'note'>
  readonly clock: Clock
  readonly eventLog: EventLog
  /** This router's id, as the orders' actor. */
  readonly routerId: string
  /** Whether an endpoint may get new work; one that leaves is not planned for. */
  readonly isUsable: (pool: string, endpoint: string) => boolean
  /** Pause between two passes, in milliseconds. */
  readonly passIntervalMs: number
  /** Bound on one call to an engine, in milliseconds. */
  readonly callTimeoutMs: number
  /** Time without an answer after which an engine counts as lost, in milliseconds. */
  readonly lostAfterMs: number
  /** Models that may load from the weight store at once, over all pools. */
  readonly maximumLoads: number
}
