import type { HolderTable } from '../choice/holder-table.js'
import type { LoadView } from '../choice/load-view.js'
import type { ConfigurationState } from '../configuration/configuration-state.js'
import type { EndpointTable } from './endpoint-table.js'
import type { Freshness } from './freshness.js'
import type { RouterTable } from './router-table.js'

/** All that routers tell each other about. */
export interface FleetKnowledge {
  /** The configuration. */
  readonly configuration: ConfigurationState
  /** The endpoints. */
  readonly endpoints: EndpointTable
  /** Moment at which the endpoints were known to be as the store has them. */
  readonly endpointsFreshness: Freshness
  /** The routers. */
  readonly routers: RouterTable
  /** Who holds which context. */
  readonly holders: HolderTable
  /** What is in flight. */
  readonly loads: LoadView
}
