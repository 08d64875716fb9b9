import type { SlotHolder } from './slot-holder.js'
import type { SlotLink } from './slot-link.js'
import type { SlotListener } from './slot-listener.js'
import type { SlotOwners } from './slot-owners.js'
import type { SlotRelease } from './slot-release.js'
import type { SlotRequest } from './slot-request.js'
import type { SlotTicket } from './slot-ticket.js'

/** Link from a router to the slots that it owns itself, without a connection. */
export class LocalSlotLink implements SlotLink {
  readonly receivedCount = 0
  private readonly _owners: SlotOwners
  private readonly _holder: SlotHolder

  /**
   * @param owners services whose slots this router owns
   * @param name name of this router
   */
  constructor (owners: SlotOwners, name: string) {
    this._owners = owners
    this._holder = { name }
  }

  request (request: SlotRequest, listener: SlotListener): SlotTicket {
    return this._owners.request(this._holder, request, listener) ?? { cancel: () => undefined }
  }

  release (release: SlotRelease): void {
    this._owners.release(release)
  }
}
