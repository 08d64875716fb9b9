import type { Clock } from '@mimosarock/coordination/clock.js'
import type { Membership } from '@mimosarock/coordination/membership.js'
import type { PeerMessenger } from '@mimosarock/coordination/peer-messenger.js'
import type { EndpointAdmissions } from './endpoint-admissions.js'

/** Options of `LoadExchange`. */
export interface LoadExchangeOptions {
  readonly admissions: EndpointAdmissions
  readonly membership: Membership
  readonly messenger: PeerMessenger
  readonly clock: Clock
  /** Interval between the starts of two exchanges, in milliseconds. */
  readonly periodMs: number
}
