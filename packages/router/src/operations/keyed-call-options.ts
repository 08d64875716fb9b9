import type { Clock } from '@mimosarock/coordination/clock.js'
import type { EventLog } from '@mimosarock/coordination/event-log.js'
import type { OperationLedger } from '@mimosarock/coordination/ledger/operation-ledger.js'

/** What keyed calls work with. */
export interface KeyedCallOptions {
  /** Finds the ledger of the key's partition. */
  readonly ledgerFor: (workspace: string, key: string) => OperationLedger
  readonly clock: Clock
  readonly eventLog: EventLog
  /** Age up to which keys are taken, in milliseconds. */
  readonly keyWindowMs: number
  /** Longest time between sending an intent and starting the dispatch, in milliseconds. */
  readonly dispatchWindowMs: number
  /** Time that must be left to the caller's deadline when the dispatch starts, in milliseconds. */
  readonly minimumRemainingMs: number
  /** How long a dispatch may go on past the caller's deadline, so that its outcome becomes known, in milliseconds. */
  readonly outcomeGraceMs: number
  /** Longest wait for the outcome of another call with the same key, in milliseconds. */
  readonly inProgressWaitMs: number
  /** Largest answer body that is kept for later calls with the same key, in bytes. */
  readonly maximumKeptAnswerBytes: number
}
