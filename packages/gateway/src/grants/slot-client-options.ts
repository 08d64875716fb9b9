import type { EventLog } from '@mimosarock/coordination/event-log.js'
import type { PlacementClock } from '@mimosarock/placement/placement-clock.js'
import type { SlotLink } from './slot-link.js'
import type { SlotLinks } from './slot-links.js'
import type { SlotOwnership } from './slot-ownership.js'
import type { SlotResult } from './slot-result.js'

/** Dependencies of a `SlotClient`. */
export interface SlotClientOptions {
  /** Name of this router. */
  readonly router: string
  /** Decides which router owns the slots of a service. */
  readonly ownership: SlotOwnership
  /** Links to the other routers. */
  readonly links: SlotLinks
  /** Link to the slots that this router owns itself. */
  readonly localLink: SlotLink
  /** Source of time and timers. */
  readonly clock: PlacementClock
  /** Logs owners that do not answer. */
  readonly log: EventLog
  /**
   * Called at the end of each request for a slot.
   * @param service name of the service
   * @param result how it ended
   * @param waitedMs time that it took, in milliseconds
   */
  readonly onResult: (service: string, result: SlotResult, waitedMs: number) => void
}
