import type { RouterIdentity } from '@mimosarock/coordination/router-identity.js'
import type { EndpointDispatch } from './endpoint-dispatch.js'
import type { ForwardClientOptions } from './forward-client-options.js'
import type { OwnerLookup } from './owner-lookup.js'
import type { SuspectOwners } from './suspect-owners.js'

/** What finding an endpoint's owner and handing calls to it needs. */
export interface OwnerDispatchOptions {
  readonly self: () => RouterIdentity
  readonly owners: OwnerLookup
  /** Runs calls at this router's endpoints. */
  readonly local: EndpointDispatch
  /** Bounds of forwards, without the address. */
  readonly forward: Omit<ForwardClientOptions, 'address'>
  /** Remembers owners that do not answer. */
  readonly suspects: SuspectOwners
  /** Calls that may run at one time without their owner, because it can't be reached. */
  readonly maximumUnownedCalls: number
}
