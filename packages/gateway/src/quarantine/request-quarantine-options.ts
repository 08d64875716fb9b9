import type { EventLog } from '@mimosarock/coordination/event-log.js'
import type { ElapsedClock } from '../model/elapsed-clock.js'

/** Options of a {@link RequestQuarantine}. */
export interface RequestQuarantineOptions {
  /** Clock for the times of crashes. */
  readonly clock: ElapsedClock
  /** Logs crashes and the start and end of each quarantine. */
  readonly log: EventLog
  /** Returns the position of this router among all routers, an order on which they agree; 0 is the first. */
  readonly rank: () => number
}
