import type { ServiceAdmissions } from '../admission/service-admissions.js'
import type { EndpointHealth } from '../choice/endpoint-health.js'
import type { EndpointSelector } from '../choice/endpoint-selector.js'
import type { SlotClient } from '../grants/slot-client.js'
import type { FleetPermits } from '../limits/fleet-permits.js'
import type { EndpointTable } from '../membership/endpoint-table.js'
import type { ElapsedClock } from '../model/elapsed-clock.js'

/** Dependencies of `AdmissionPaths`. */
export interface AdmissionPathsOptions {
  /** Admission control of each service. */
  readonly admissions: ServiceAdmissions
  /** Chooses the endpoint of a request. */
  readonly endpointSelector: EndpointSelector
  /** Requests slots from their owners. */
  readonly slotClient: SlotClient
  /** Registered endpoints. */
  readonly endpoints: EndpointTable
  /** Recent failures of endpoints. */
  readonly health: EndpointHealth
  /** Permits for requests to endpoints with a rate limit. */
  readonly permits: FleetPermits
  /** Monotonic clock. */
  readonly clock: ElapsedClock
}
