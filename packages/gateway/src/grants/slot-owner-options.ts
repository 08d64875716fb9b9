import type { EndpointHealth } from '../choice/endpoint-health.js'
import type { ReportedLoads } from '../loads/reported-loads.js'
import type { ElapsedClock } from '../model/elapsed-clock.js'
import type { EndpointEntry } from '../model/endpoint-entry.js'

/** Inputs of a `SlotOwner`, apart from its service. */
export interface SlotOwnerOptions {
  /** Monotonic clock. */
  readonly clock: ElapsedClock
  /** Returns a random number from 0 (inclusive) to 1 (exclusive), which jitters the retry delays of refused requests. */
  readonly random: () => number
  /**
   * Returns the endpoints that can take requests now.
   * @param service name of the service
   */
  readonly availableEndpoints: (service: string) => readonly EndpointEntry[]
  /** Failures of endpoints, by releases. */
  readonly health: EndpointHealth
  /** Loads that endpoints state, by releases and by responses to this router. */
  readonly reportedLoads: ReportedLoads
  /**
   * Returns the requests in flight at an endpoint from the whole fleet, by the latest load reports of the routers.
   * @param endpointId id of the endpoint
   */
  readonly fleetLoad: (endpointId: string) => number
  /** Returns the promised upper bound on an endpoint's load, as a multiple of the mean load. */
  readonly loadBoundFactor: () => number
}
