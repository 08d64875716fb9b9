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
  /** Minimum time since an open operation was first read after which it may be settled as not run, in milliseconds. */
  readonly longestPauseMs: number
  /** Number of stored operations at which new ones are rejected. */
  readonly maximumOperations: number
}
