import type { Clock } from '../clock.js'
import type { EventLog } from '../event-log.js'
import type { LogService } from '../log-service.js'
import type { PeerMessenger } from '../peer-messenger.js'
import type { LedgerWriters } from './ledger-writers.js'

/** Options of `LedgerPartition`. */
export interface LedgerPartitionOptions {
  readonly logService: LogService
  readonly messenger: PeerMessenger
  readonly writers: LedgerWriters
  readonly clock: Clock
  readonly eventLog: EventLog
  /** Id of this router, also used as the writer id of its records; must be unique for each process start. */
  readonly routerId: string
  /** Upper bound on the wait until an intent is read back, in milliseconds. */
  readonly intentTimeoutMs: number
  /** Minimum time between the starts of two appends, in milliseconds. */
  readonly groupIntervalMs: number
  /** Maximum age of accepted keys, in milliseconds. */
  readonly keyWindowMs: number
  /** Assumed upper bound on the pause of a router in the middle of a call, in milliseconds. */
  readonly longestPauseMs: number
}
