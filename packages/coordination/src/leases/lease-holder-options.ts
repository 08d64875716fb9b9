import type { Clock } from '../clock.js'
import type { EventLog } from '../event-log.js'
import type { RecordAppender } from '../record-appender.js'
import type { StreamReplica } from '../stream-replica.js'
import type { LeaseFold } from './lease-fold.js'

/** What a lease holder works with. */
export interface LeaseHolderOptions {
  /** Name of the lease. */
  readonly lease: string
  /** This process; unique for each start. */
  readonly processId: string
  readonly replica: StreamReplica
  readonly fold: LeaseFold
  readonly appender: RecordAppender
  readonly clock: Clock
  readonly eventLog: EventLog
  /** How long a claim or renewal holds, in milliseconds. */
  readonly durationMs: number
  /** How long before its end the holder stops using the lease, in milliseconds. */
  readonly stopMarginMs: number
  /** Longest pause of a holder between checking its lease and acting on it, in milliseconds; challengers wait it out. */
  readonly pauseAllowanceMs: number
  /** Whether this process should hold the lease if it is free. */
  readonly isCandidate: () => boolean
}
