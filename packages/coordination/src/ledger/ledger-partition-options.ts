import type { Clock } from '../clock.js'
import type { EventLog } from '../event-log.js'
import type { LogService } from '../log-service.js'
import type { PeerMessenger } from '../peer-messenger.js'
import type { LedgerWriters } from './ledger-writers.js'

/** What one partition of the ledger works with. */
export interface LedgerPartitionOptions {
  readonly logService: LogService
  readonly messenger: PeerMessenger
  readonly writers: LedgerWriters
  readonly clock: Clock
  readonly eventLog: EventLog
  /** This router's id, and the writer id of its records. */
  readonly routerId: string
  /** Longest wait for an intent to be read back, in milliseconds. */
  readonly intentTimeoutMs: number
  /** Shortest pause between two appends, in milliseconds. */
  readonly groupIntervalMs: number
  /** Age up to which keys are taken, in milliseconds. */
  readonly keyWindowMs: number
  /** Time after which a paused router can no longer start what it won, in milliseconds. */
  readonly longestPauseMs: number
}
