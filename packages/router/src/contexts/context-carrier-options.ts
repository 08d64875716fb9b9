import type { Clock } from '@mimosarock/coordination/clock.js'
import type { EventLog } from '@mimosarock/coordination/event-log.js'
import type { ContextTransferCost } from '@mimosarock/placement/context-transfer-cost.js'
import type { TokenBucket } from '@mimosarock/placement/token-bucket.js'
import type { EndpointClients } from '../watch/endpoint-clients.js'

/** What carrying contexts works with. */
export interface ContextCarrierOptions {
  readonly clients: EndpointClients
  readonly cost: ContextTransferCost
  /** Bytes that may be carried on behalf of this router. */
  readonly bytes: TokenBucket
  readonly clock: Clock
  readonly eventLog: EventLog
}
