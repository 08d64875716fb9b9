import type { EventLog } from '@mimosarock/coordination/event-log.js'
import type { EndpointTable } from '../membership/endpoint-table.js'
import type { ElapsedClock } from '../model/elapsed-clock.js'
import type { WarmUpRule } from '../model/warm-up-rule.js'
import type { WarmUpBounds } from './warm-up-bounds.js'

/** Inputs of a `WarmUpTable`. */
export interface WarmUpTableOptions {
  /** Registered endpoints. */
  readonly endpoints: EndpointTable
  /**
   * Returns the warm-up rule of a service; undefined if it has none.
   * @param service name of the service
   */
  readonly ruleOf: (service: string) => WarmUpRule | undefined
  /** Returns the settings in force. */
  readonly bounds: () => WarmUpBounds
  /** Clock of the router. */
  readonly clock: ElapsedClock
  /** Receives an entry for each endpoint that is cold or warm again. */
  readonly log: EventLog
}
