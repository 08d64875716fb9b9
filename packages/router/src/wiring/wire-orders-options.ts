import type { AuditTrail } from '@mimosarock/coordination/configuration/audit-trail.js'
import type { EndpointHealth } from '../watch/endpoint-health.js'
import type { RouterProcessOptions } from './router-process-options.js'
import type { RouterStreams } from './router-streams.js'

/** What the parts that give orders to engines are wired to. */
export interface WireOrdersOptions {
  readonly process: RouterProcessOptions
  readonly routerId: string
  readonly streams: RouterStreams
  /** Whether this router should hold the lease if it is free. */
  readonly isCandidate: () => boolean
  readonly auditTrail: AuditTrail
  readonly health: EndpointHealth
}
