import type { EventLog } from '@mimosarock/coordination/event-log.js'
import type { ProcessPressure } from '../admission/process-pressure.js'
import type { ServiceAdmissions } from '../admission/service-admissions.js'
import type { EndpointSelector } from '../choice/endpoint-selector.js'
import type { EndpointHealth } from '../choice/endpoint-health.js'
import type { HolderTable } from '../choice/holder-table.js'
import type { LoadView } from '../choice/load-view.js'
import type { ConfigurationState } from '../configuration/configuration-state.js'
import type { ElapsedClock } from '../model/elapsed-clock.js'
import type { WireCodec } from '../model/wire-codec.js'
import type { FleetRetryBudget } from '../retries/fleet-retry-budget.js'
import type { EndpointConnections } from '../sending/endpoint-connections.js'
import type { GatewayMetrics } from '../status/gateway-metrics.js'
import type { GatewayState } from '../model/gateway-state.js'
import type { StartupGate } from './startup-gate.js'
import type { TurnMeter } from './turn-meter.js'

/** What a request's task works with. */
export interface RequestParts {
  /** Time, suspensions counted. */
  readonly clock: ElapsedClock
  /** Takes a line for each decision. */
  readonly log: EventLog
  /** Reads and writes headers. */
  readonly codec: WireCodec
  /** The configuration in force. */
  readonly configuration: ConfigurationState
  /** Who is served, waits or is refused. */
  readonly admissions: ServiceAdmissions
  /** Whether this process has more to do than it can. */
  readonly pressure: ProcessPressure
  /** Measures the turns of the event loop. */
  readonly turns: TurnMeter
  /** Chooses endpoints. */
  readonly choice: EndpointSelector
  /** Who failed lately. */
  readonly health: EndpointHealth
  /** Who holds which context. */
  readonly holders: HolderTable
  /** What is in flight. */
  readonly loads: LoadView
  /** Connections to endpoints. */
  readonly connections: EndpointConnections
  /** Counters. */
  readonly metrics: GatewayMetrics
  /** Where the router stands in its life. */
  readonly state: GatewayState
  /** Holds requests while the router starts. */
  readonly startup: StartupGate
  /** Whether the fleet is so large that only displaced contexts are told. */
  readonly isFleetLarge: () => boolean
  /** Age of the keys above which requests that need one are refused, in milliseconds; 0 for never. */
  readonly keyAgeLimitMs: () => number
  /**
   * Retry budget of a service.
   * @param service name of the service
   */
  readonly budgetOf: (service: string) => FleetRetryBudget
  /**
   * Connections that this router may hold to an endpoint of a service.
   * @param service name of the service
   */
  readonly connectionsOf: (service: string) => number
}
