import type { HolderTable } from '../choice/holder-table.js'
import type { WorkspaceFairness } from '../fairness/workspace-fairness.js'
import type { LoadView } from '../choice/load-view.js'
import type { ConfigurationState } from '../configuration/configuration-state.js'
import type { ZoneEvacuations } from '../evacuation/zone-evacuations.js'
import type { StoreEra } from '../model/store-era.js'
import type { WarmUpTable } from '../warm-up/warm-up-table.js'
import type { EndpointLimits } from '../limits/endpoint-limits.js'
import type { FleetPermits } from '../limits/fleet-permits.js'
import type { FleetOutliers } from '../outliers/fleet-outliers.js'
import type { RequestQuarantine } from '../quarantine/request-quarantine.js'
import type { EndpointTable } from './endpoint-table.js'
import type { Freshness } from './freshness.js'
import type { RouterTable } from './router-table.js'

/** State that routers exchange with each other. */
export interface FleetState {
  /** Era of the store. */
  readonly storeEra: StoreEra
  /** The configuration in force. */
  readonly configuration: ConfigurationState
  /** Evacuated availability zones. */
  readonly evacuations: ZoneEvacuations
  /** Registered endpoints. */
  readonly endpoints: EndpointTable
  /** When the endpoints were last verified against the store. */
  readonly endpointsFreshness: Freshness
  /** Live routers. */
  readonly routers: RouterTable
  /** Endpoints that hold the cached context of each key. */
  readonly holders: HolderTable
  /** Prompt parts that crash endpoints. */
  readonly quarantine: RequestQuarantine
  /** Rate limits that endpoints state. */
  readonly limits: EndpointLimits
  /** Cold endpoints. */
  readonly warmUps: WarmUpTable
  /** Permits for requests to endpoints with a rate limit. */
  readonly permits: FleetPermits
  /** Fair shares of workspaces in services that refuse requests. */
  readonly fairness: WorkspaceFairness
  /** Endpoints that fail requests although they pass health checks. */
  readonly outliers: FleetOutliers
  /** Requests in flight per endpoint. */
  readonly loads: LoadView
}
