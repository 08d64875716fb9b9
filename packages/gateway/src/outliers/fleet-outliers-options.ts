import type { EventLog } from '@mimosarock/coordination/event-log.js'
import type { EndpointTable } from '../membership/endpoint-table.js'
import type { ElapsedClock } from '../model/elapsed-clock.js'

/** Options of {@link FleetOutliers}. */
export interface FleetOutliersOptions {
  /** Registered endpoints. */
  readonly endpoints: Pick<EndpointTable, 'find' | 'ready'>
  /** Clock of the router. */
  readonly clock: ElapsedClock
  /** Event log. */
  readonly log: EventLog
  /** Returns a random number from 0 (inclusive) to 1 (exclusive). */
  readonly random: () => number
}
