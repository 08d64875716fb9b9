import type { GroupAppender } from '@mimosarock/coordination/group-appender.js'
import type { LeaseFold } from '@mimosarock/coordination/leases/lease-fold.js'
import type { StreamReplica } from '@mimosarock/coordination/stream-replica.js'

/** Local replica and state of the lease stream, and its appender. */
export interface LeaseStream {
  readonly replica: StreamReplica
  readonly fold: LeaseFold
  readonly appender: GroupAppender
}
