import type { EndpointEntry } from '../model/endpoint-entry.js'
import type { SlotGrants } from './slot-grants.js'
import type { SlotHolder } from './slot-holder.js'

/** A grant in use, as the owner keeps it. */
export interface GrantedSlot {
  /** Router that uses it. */
  readonly holder: SlotHolder
  /** Endpoint, as it was registered at the time of the grant. */
  readonly endpoint: EndpointEntry
  /** Grants of the endpoint, among which it counts. */
  readonly grants: SlotGrants
  /** Time of the grant. */
  readonly grantedAt: number
  /** Time at which it ends without a release, by the request's deadline. */
  readonly deadlineAt: number
  /** Time at which it ends because its router was lost; Infinity while the router is connected. */
  lostAt: number
  /** Whether it counts as in use. It is kept for some time after it was lost, since its release tells how long requests take. */
  isCounted: boolean
}
