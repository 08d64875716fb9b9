import type { EndpointTable } from '../membership/endpoint-table.js'
import type { Ejections } from './ejections.js'

/** Options of {@link OutlierDetector}. */
export interface OutlierDetectorOptions {
  /** Registered endpoints. */
  readonly endpoints: Pick<EndpointTable, 'ready'>
  /** Ejected endpoints, which the detector changes. */
  readonly ejections: Ejections
}
