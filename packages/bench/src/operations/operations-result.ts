import type { FaultCounts } from './fault-counts.js'

/** What the bench prints. */
export interface OperationsResult {
  readonly calls: number
  readonly keys: number
  /** Keys that ran more than once, over all services. */
  readonly ran_twice: number
  /** Calls that were told that they did not run and did. */
  readonly false_not_run: number
  /** Keys answered as done that no service ran. */
  readonly lost: number
  /** Keys that ran or are in doubt, whose callers have no answer, and that operators can't list or find answered. */
  readonly in_doubt_unlisted: number
  readonly wrong_or_short_answers: number
  /** Share of keys whose callers were answered as done within 10 s of the last fault. */
  readonly answered_share: number
  /** Median of keyed calls less the median of repeatable ones, before the faults. */
  readonly added_p50_ms: number
  /** Appends for operations in the time before the faults. */
  readonly log_appends_per_second: number
  /** The same while faults were caused. */
  readonly log_appends_per_second_under_faults: number
  /** Keyed calls a second before the faults. */
  readonly keyed_calls_per_second: number
  /** Repeatable calls that failed while the log was down, of all made then. */
  readonly repeatable_failed_log_down: number
  readonly repeatable_calls_log_down: number
  /** Median of repeatable calls with the log up, and with it down. */
  readonly repeatable_p50_ms: number
  readonly repeatable_p50_ms_log_down: number
  /** Longest time until a keyed call was refused while the log was down. */
  readonly refusal_worst_ms_log_down: number
  readonly faults: FaultCounts
}
