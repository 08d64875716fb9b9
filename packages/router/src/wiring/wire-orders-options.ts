import type { AuditTrail } from '@mimosarock/coordination/configuration/audit-trail.js'
import type { EndpointHealth } from '../watch/endpoint-health.js'
import type { RouterProcessOptions } from './router-process-options.js'
import type { RouterStreams } from './router-streams.js'

/** Options of `wireOrders`. */
export interface WireOrdersOptions {
  readonly processOptions: RouterProcessOptions
  readonly routerId: string
  readonly streams: RouterStreams
  /** Returns whether this router should try to acquire the lease when it is free. */
  readonly isCandidate: () => boolean
  readonly auditTrail: AuditTrail
  readonly health: EndpointHealth
}
