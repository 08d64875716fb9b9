import type { RouterIdentity } from '@mimosarock/coordination/router-identity.js'
import type { EndpointDispatch } from './endpoint-dispatch.js'
import type { ForwardClientOptions } from './forward-client-options.js'
import type { OwnerLookup } from './owner-lookup.js'
import type { SuspectOwners } from './suspect-owners.js'

/** Dependencies and limits of the dispatch to endpoint owners. */
export interface OwnerDispatchOptions {
  readonly self: () => RouterIdentity
  readonly owners: OwnerLookup
  /** Executes calls from this router, without forwarding them. */
  readonly local: EndpointDispatch
  /** Options of the clients that forward calls, except the address. */
  readonly forward: Omit<ForwardClientOptions, 'address'>
  /** Owners that recently did not respond. */
  readonly suspects: SuspectOwners
  /** Maximum number of concurrent calls that bypass an unreachable owner. */
  readonly maximumUnownedCalls: number
}
