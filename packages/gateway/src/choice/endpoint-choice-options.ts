import type { EndpointTable } from '../membership/endpoint-table.js'
import type { EndpointHealth } from './endpoint-health.js'
import type { HolderTable } from './holder-table.js'
import type { LoadView } from './load-view.js'

/** The parts that a choice is made of. */
export interface EndpointChoiceOptions {
  /** Endpoints that may get work. */
  readonly endpoints: EndpointTable
  /** What is in flight. */
  readonly loads: LoadView
  /** Who holds which context. */
  readonly holders: HolderTable
  /** Who failed lately. */
  readonly health: EndpointHealth
  /** Availability zone of this router; endpoints there cost no traffic between zones. */
  readonly availabilityZone: string
  /** Promised bound of an endpoint's load, as a multiple of the mean. */
  readonly loadBoundFactor: () => number
  /** Whether routers don't tell each other of keys at their first homes. */
  readonly isFleetLarge: () => boolean
}
