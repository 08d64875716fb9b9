import type { Clock } from '@mimosarock/coordination/clock.js'
import type { PeerMessenger } from '@mimosarock/coordination/peer-messenger.js'
import type { DisplacedChats } from '@mimosarock/placement/displaced-chats.js'
import type { OwnerLookup } from '../forward/owner-lookup.js'

/** Dependencies of the displacement reports. */
export interface DisplacementReportsOptions {
  readonly owners: OwnerLookup
  /** Returns the id of this router. */
  readonly selfId: () => string
  readonly messenger: PeerMessenger
  /** Directory of the displaced chats whose primary endpoint this router owns. */
  readonly displacedChats: DisplacedChats
  readonly clock: Clock
}
