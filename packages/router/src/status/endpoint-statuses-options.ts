import type { ConfigurationSource } from '@mimosarock/coordination/configuration-source.js'
import type { Membership } from '@mimosarock/coordination/membership.js'
import type { OwnerLookup } from '../forward/owner-lookup.js'
import type { EndpointAdmissions } from '../owner/endpoint-admissions.js'
import type { EndpointHealth } from '../owner/endpoint-health.js'

/** Where the states of endpoints are read. */
export interface EndpointStatusesOptions {
  readonly configuration: ConfigurationSource
  readonly membership: Membership
  readonly owners: OwnerLookup
  readonly health: EndpointHealth
  readonly admissions: EndpointAdmissions
}
