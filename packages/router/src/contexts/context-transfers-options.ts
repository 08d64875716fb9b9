import type { Clock } from '@mimosarock/coordination/clock.js'
import type { EventLog } from '@mimosarock/coordination/event-log.js'
import type { ContextTransferCost } from '@mimosarock/placement/context-transfer-cost.js'
import type { TokenBucket } from '@mimosarock/placement/token-bucket.js'
import type { EndpointClients } from '../watch/endpoint-clients.js'

/** Dependencies of context transfers. */
export interface ContextTransfersOptions {
  readonly clients: EndpointClients
  readonly cost: ContextTransferCost
  /** Limits the bytes that engines may transfer on behalf of this router. */
  readonly byteBudget: TokenBucket
  readonly clock: Clock
  readonly eventLog: EventLog
}
