import type { FleetPermits } from '../limits/fleet-permits.js'
import type { WarmUpTable } from '../warm-up/warm-up-table.js'
import type { EndpointTable } from '../membership/endpoint-table.js'
import type { FleetOutliers } from '../outliers/fleet-outliers.js'
import type { EndpointHealth } from './endpoint-health.js'
import type { EndpointPauses } from './endpoint-pauses.js'
import type { HolderTable } from './holder-table.js'
import type { LoadView } from './load-view.js'

/** Data and settings that an `EndpointSelector` uses. */
export interface EndpointSelectorOptions {
  /** Registered endpoints of all services. */
  readonly endpoints: EndpointTable
  /** Requests in flight by endpoint. */
  readonly loads: LoadView
  /** Endpoints that hold cached contexts, by key. */
  readonly holders: HolderTable
  /** Recent failures by endpoint. */
  readonly health: EndpointHealth
  /** Endpoints that want no requests for some time. */
  readonly pauses: EndpointPauses
  /** Permits for requests to endpoints with a rate limit. */
  readonly permits: FleetPermits
  /** Cold endpoints; left out if there are none. */
  readonly warmUps?: Pick<WarmUpTable, 'isCold' | 'limitOf'>
  /** Endpoints that are left out since they fail requests, and their trials; undefined for none. */
  readonly outliers?: Pick<FleetOutliers, 'pickTrial'> | undefined
  /** Availability zone of this router; requests to endpoints in it cause no traffic between zones. */
  readonly availabilityZone: string
  /** Returns the number of live routers, which all choose by the same load reports. */
  readonly routerCount: () => number
  /** Returns a random number from 0 to 1, exclusive; spreads the choices of routers that know the same loads. */
  readonly random: () => number
  /** Returns the promised upper bound on an endpoint's load, as a multiple of the mean load. */
  readonly loadBoundFactor: () => number
  /**
   * Returns whether the fleet is large. In a large fleet, a router does not announce that an endpoint holds a context if
   * the endpoint is the primary of the context's key, that is, the first one of the key's rendezvous order.
   */
  readonly isFleetLarge: () => boolean
}
