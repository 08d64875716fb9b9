import type { Clock } from '@mimosarock/coordination/clock.js'
import type { EventLog } from '@mimosarock/coordination/event-log.js'
import type { OperationLedger } from '@mimosarock/coordination/ledger/operation-ledger.js'

/** Options of `KeyedCall`. */
export interface KeyedCallOptions {
  /** Returns the ledger of the partition to which a key belongs. */
  readonly ledgerFor: (workspace: string, key: string) => OperationLedger
  readonly clock: Clock
  readonly eventLog: EventLog
  /** Maximum age of accepted keys, in milliseconds. */
  readonly keyWindowMs: number
  /** Maximum time between sending an intent and starting the dispatch, in milliseconds. */
  readonly dispatchWindowMs: number
  /** Minimum time that must remain until the caller's deadline when the dispatch starts, in milliseconds. */
  readonly minimumRemainingMs: number
  /** Time for which a dispatch may continue past the caller's deadline to record its outcome, in milliseconds. */
  readonly outcomeGraceMs: number
  /** Maximum wait for the outcome of another call with the same key, in milliseconds. */
  readonly inProgressWaitMs: number
  /** Maximum size of a response body that is stored for later calls with the same key, in bytes. */
  readonly maximumStoredBodyBytes: number
}
