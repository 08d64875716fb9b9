import type { Clock } from '../clock.js'
import type { EventLog } from '../event-log.js'
import type { RecordAppender } from '../record-appender.js'
import type { StreamReplica } from '../stream-replica.js'
import type { LedgerFold } from './ledger-fold.js'

/** Options of `OperationLedger`. */
export interface OperationLedgerOptions {
  /** Follows the stream of the partition and applies its entries to the fold. */
  readonly replica: StreamReplica
  readonly fold: LedgerFold
  readonly appender: RecordAppender
  /** Id of this router. */
  readonly routerId: string
  readonly clock: Clock
  readonly eventLog: EventLog
  /** Upper bound on the wait until an intent is read back, in milliseconds. */
  readonly intentTimeoutMs: number
  /** Maximum age of accepted keys, in milliseconds. */
  readonly keyWindowMs: number
  /** Maximum staleness of the replica at which attempts are still accepted, in milliseconds. */
  readonly staleAfterMs: number
  /**
   * Assumed upper bound on the pause of a router in the middle of a call, in milliseconds. An operation may be settled as
   * not run only after this time plus the maximum run time of the call has passed since the operation was first read.
   */
  readonly longestPauseMs: number
  /** Number of stored operations at which new ones are rejected. */
  readonly maximumOperations: number
}
