import type { EventLog } from '@mimosarock/coordination/event-log.js'
import type { FleetState } from '../membership/fleet-state.js'
import type { ElapsedClock } from '../model/elapsed-clock.js'
import type { EndpointEntry } from '../model/endpoint-entry.js'
import type { GatewayMetrics } from '../status/gateway-metrics.js'

/** Options of {@link SlotGranting}. */
export interface SlotGrantingOptions {
  /** Members, endpoints and loads that this router knows. */
  readonly state: FleetState
  /**
   * Returns the endpoints that can take requests now.
   * @param service name of the service
   */
  readonly availableEndpoints: (service: string) => readonly EndpointEntry[]
  /** Returns whether slot grants are enabled. */
  readonly isEnabled: () => boolean
  /** Returns the promised upper bound on an endpoint's load, as a multiple of the mean load. */
  readonly loadBoundFactor: () => number
  /** Monotonic clock that also advances while the VM is suspended. */
  readonly clock: ElapsedClock
  /** Event log. */
  readonly log: EventLog
  /** Metrics of this router. */
  readonly metrics: GatewayMetrics
}
