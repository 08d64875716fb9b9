import type { Clock } from '../clock.js'
import type { EventLog } from '../event-log.js'
import type { RecordAppender } from '../record-appender.js'
import type { StreamReplica } from '../stream-replica.js'
import type { LeaseFold } from './lease-fold.js'

/** Options of `LeaseHolder`. */
export interface LeaseHolderOptions {
  /** Name of the lease. */
  readonly lease: string
  /** Id of this process; must be unique for each process start. */
  readonly processId: string
  readonly replica: StreamReplica
  readonly fold: LeaseFold
  readonly appender: RecordAppender
  readonly clock: Clock
  readonly eventLog: EventLog
  /** Duration of the lease after a claim or a renewal, in milliseconds. */
  readonly durationMs: number
  /** Safety margin before the lease expires in which the holder no longer acts on it, in milliseconds. */
  readonly stopMarginMs: number
  /** Upper bound on the pause of a holder between checking its lease and acting on it, in milliseconds. Challengers wait this much longer than the duration of the lease. */
  readonly pauseAllowanceMs: number
  /** Whether this process should claim the lease if it is free. */
  readonly isCandidate: () => boolean
}
