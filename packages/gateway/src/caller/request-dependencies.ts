import type { LiveRequests } from './live-requests.js'
import type { EventLog } from '@mimosarock/coordination/event-log.js'
import type { RouteTimes } from '../admission/route-times.js'
import type { ServiceAdmissions } from '../admission/service-admissions.js'
import type { EndpointSelector } from '../choice/endpoint-selector.js'
import type { EndlessEndpoints } from '../choice/endless-endpoints.js'
import type { EndpointPauses } from '../choice/endpoint-pauses.js'
import type { EndpointHealth } from '../choice/endpoint-health.js'
import type { HolderTable } from '../choice/holder-table.js'
import type { LoadView } from '../choice/load-view.js'
import type { ConfigurationState } from '../configuration/configuration-state.js'
import type { ReportedLoads } from '../loads/reported-loads.js'
import type { EndpointTable } from '../membership/endpoint-table.js'
import type { ElapsedClock } from '../model/elapsed-clock.js'
import type { WireCodec } from '../model/wire-codec.js'
import type { FleetRetryBudget } from '../retries/fleet-retry-budget.js'
import type { CrashDetector } from '../quarantine/crash-detector.js'
import type { RequestQuarantine } from '../quarantine/request-quarantine.js'
import type { FleetOutliers } from '../outliers/fleet-outliers.js'
import type { EndpointLimits } from '../limits/endpoint-limits.js'
import type { WarmUpTable } from '../warm-up/warm-up-table.js'
import type { FleetPermits } from '../limits/fleet-permits.js'
import type { EndpointConnections } from '../sending/endpoint-connections.js'
import type { ProcessStalls } from '../responses/process-stalls.js'
import type { ReadPacer } from '../sending/read-pacer.js'
import type { StallWatch } from '../sending/stall-watch.js'
import type { HeldBytes } from '../memory/held-bytes.js'
import type { GatewayMetrics } from '../status/gateway-metrics.js'
import type { GatewayState } from '../model/gateway-state.js'
import type { ConfigurationAgeLimits } from './configuration-age-limits.js'
import type { ConfigurationArrivals } from './configuration-arrivals.js'
import type { CurrentHomes } from './current-homes.js'
import type { AdmissionPaths } from './admission-paths.js'
import type { StartupGate } from './startup-gate.js'
import type { EventLoopMeter } from './event-loop-meter.js'

/** Components of the router that all requests share. */
export interface RequestDependencies {
  /** Requests that have not been answered. */
  readonly liveRequests: LiveRequests
  /** Monotonic clock that also advances while the VM is suspended. */
  readonly clock: ElapsedClock
  /** Event log. */
  readonly log: EventLog
  /** Translates headers of callers and endpoints. */
  readonly codec: WireCodec
  /** Configuration in force. */
  readonly configuration: ConfigurationState
  /** Lets requests wait for the next version of the configuration. */
  readonly configurationArrivals: ConfigurationArrivals
  /** Admission control of each service: admits, queues or rejects requests. */
  readonly admissions: ServiceAdmissions
  /** Way on which each request is admitted and gets its endpoints. */
  readonly admissionPaths: AdmissionPaths
  /** Loads that endpoints state in their responses. */
  readonly reportedLoads: ReportedLoads
  /** Mean times of requests by route. */
  readonly routeTimes: RouteTimes
  /** Measures iterations of the event loop. */
  readonly eventLoopMeter: EventLoopMeter
  /** Regions in which alone requests may run. */
  readonly currentHomes: CurrentHomes
  /** Chooses the endpoint of a request. */
  readonly endpointSelector: EndpointSelector
  /** Registered endpoints. */
  readonly endpoints: EndpointTable
  /** Endpoints that want no requests for some time. */
  readonly pauses: EndpointPauses
  /** Pauses endpoints whose responses do not end. */
  readonly endlessEndpoints: EndlessEndpoints
  /** Rate limits that endpoints state. */
  readonly limits: EndpointLimits
  /** Permits for requests to endpoints with a rate limit. */
  readonly permits: FleetPermits
  /** Cold endpoints. */
  readonly warmUps: WarmUpTable
  /** Recent failures of endpoints. */
  readonly health: EndpointHealth
  /** Endpoints that fail requests although they pass health checks. */
  readonly outliers: FleetOutliers
  /** Cache index: endpoints that hold the context of a prompt. */
  readonly holders: HolderTable
  /** Requests in flight at each endpoint. */
  readonly loads: LoadView
  /** Prompt parts that crash endpoints. */
  readonly quarantine: RequestQuarantine
  /** Notices crashes of endpoints. */
  readonly crashDetector: CrashDetector
  /** Watches calls to endpoints for a lack of progress. */
  readonly stallWatch: StallWatch
  /** Connection pools of the endpoints. */
  readonly connections: EndpointConnections
  /** Notices times in which the process read nothing. */
  readonly stalls: ProcessStalls
  /** Limits the time that reads of very short parts of responses take. */
  readonly readPacer: ReadPacer
  /** Bounds the memory for bodies and responses of all connections. */
  readonly heldBytes: HeldBytes
  /** Metrics of this router. */
  readonly metrics: GatewayMetrics
  /** Lifecycle state of this router. */
  readonly state: GatewayState
  /** Delays requests for a short time until a starting router knows the configuration and the endpoints. */
  readonly startupGate: StartupGate
  /**
   * Returns whether the fleet is large. In a large fleet, a router does not announce that an endpoint holds a context if
   * the endpoint is the primary of the context's key, that is, the first one of the key's rendezvous order.
   */
  readonly isFleetLarge: () => boolean
  /** Returns how old the configuration may be for decisions on requests. */
  readonly configurationAgeLimits: () => ConfigurationAgeLimits
  /**
   * Returns the retry budget of a service.
   * @param service name of the service
   */
  readonly retryBudgetOf: (service: string) => FleetRetryBudget
  /**
   * Returns the maximum number of connections from this router to one endpoint of a service.
   * @param service name of the service
   */
  readonly maximumConnectionsOf: (service: string) => number
}
