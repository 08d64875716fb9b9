import type { SlotListener } from './slot-listener.js'
import type { SlotRelease } from './slot-release.js'
import type { SlotRequest } from './slot-request.js'
import type { SlotTicket } from './slot-ticket.js'

/** Link from a router to a slot owner. */
export interface SlotLink {
  /** Number of messages that have arrived from the owner. */
  readonly receivedCount: number
  /**
   * Requests a slot.
   * @param request what is wanted
   * @param listener receives the answers, possibly before this method returns
   */
  request (request: SlotRequest, listener: SlotListener): SlotTicket
  /**
   * Returns a grant. Without effect if the link is closed: the owner frees the grants of a lost link by itself.
   * @param release the grant and how its use ended
   */
  release (release: SlotRelease): void
}
