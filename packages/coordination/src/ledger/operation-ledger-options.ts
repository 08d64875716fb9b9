import type { Clock } from '../clock.js'
import type { EventLog } from '../event-log.js'
import type { RecordAppender } from '../record-appender.js'
import type { StreamReplica } from '../stream-replica.js'
import type { LedgerFold } from './ledger-fold.js'

/** What an operation ledger works with. */
export interface OperationLedgerOptions {
  /** Follows the partition's stream with the fold below. */
  readonly replica: StreamReplica
  readonly fold: LedgerFold
  readonly appender: RecordAppender
  /** This router's id. */
  readonly routerId: string
  readonly clock: Clock
  readonly eventLog: EventLog
  /** Longest wait for an intent to be read back, in milliseconds. */
  readonly intentTimeoutMs: number
  /** Age up to which keys are taken, in milliseconds. */
  readonly keyWindowMs: number
  /** Staleness of the replica beyond which no attempt is made, in milliseconds. */
  readonly staleAfterMs: number
  /** Time that must have passed since an open operation was first read before it may be settled as not run, in milliseconds. */
  readonly longestPauseMs: number
  /** Operations held before new ones are refused. */
  readonly maximumOperations: number
}
