import type { ProcessPressure } from '../admission/process-pressure.js'
import type { EndpointHealth } from '../choice/endpoint-health.js'
import type { EndpointPauses } from '../choice/endpoint-pauses.js'
import type { HomeRegions } from '../homes/home-regions.js'
import type { FleetState } from '../membership/fleet-state.js'
import type { ElapsedClock } from '../model/elapsed-clock.js'

/** What the admission control of a router depends on. */
export interface AdmissionsOptions {
  /** State that routers exchange. */
  readonly state: FleetState
  /** Recent failures of endpoints. */
  readonly health: EndpointHealth
  /** Endpoints that want no requests for some time. */
  readonly pauses: EndpointPauses
  /** Regions of the availability zones. */
  readonly homeRegions: HomeRegions
  /** Concurrency limit of the process. */
  readonly pressure: ProcessPressure
  /** Clock of the router. */
  readonly clock: ElapsedClock
  /** Called with the number of permits that this router got. */
  readonly onPermits: (count: number) => void
}
