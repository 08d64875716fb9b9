import type { GroupAppender } from '@mimosarock/coordination/group-appender.js'
import type { LeaseFold } from '@mimosarock/coordination/leases/lease-fold.js'
import type { StreamReplica } from '@mimosarock/coordination/stream-replica.js'

/** The stream of leases. */
export interface LeaseStream {
  readonly replica: StreamReplica
  readonly fold: LeaseFold
  readonly appender: GroupAppender
}
