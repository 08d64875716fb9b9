import type { Clock } from '@mimosarock/coordination/clock.js'
import type { PeerMessenger } from '@mimosarock/coordination/peer-messenger.js'
import type { DisplacedChats } from '@mimosarock/placement/displaced-chats.js'
import type { OwnerLookup } from '../forward/owner-lookup.js'

/** What reporting displaced chats works with. */
export interface DisplacementReportsOptions {
  readonly owners: OwnerLookup
  /** Id of this router. */
  readonly selfId: () => string
  readonly messenger: PeerMessenger
  /** Chats whose first endpoint this router owns. */
  readonly displaced: DisplacedChats
  readonly clock: Clock
}
