import type { FaultCounts } from './fault-counts.js'

/** Result that the operations bench prints. */
export interface OperationsResult {
  readonly calls: number
  readonly keys: number
  /** Keys that ran more than once, summed over all services. */
  readonly ran_twice: number
  /** Keys with a call that was refused as not run although it ran. */
  readonly false_not_run: number
  /** Keys reported to the caller as completed that no service ran. */
  readonly lost: number
  /**
   * Keys that ran, are in doubt or are in progress, whose callers got no confirmation, and that operators can neither
   * list nor find as answered.
   */
  readonly in_doubt_unlisted: number
  /** Keys with an incorrect or incomplete response. */
  readonly wrong_or_short_answers: number
  /** Share of keys whose completion was confirmed to the caller no later than 10 s after the last fault. */
  readonly answered_share: number
  /** Median latency of keyed calls minus that of repeatable calls, before faults are injected. */
  readonly added_p50_ms: number
  /** Appends to the operation streams per second, before faults are injected. */
  readonly log_appends_per_second: number
  /** Appends to the operation streams per second while faults are injected. */
  readonly log_appends_per_second_under_faults: number
  /** New keys per second, before faults are injected. */
  readonly keyed_calls_per_second: number
  /** Repeatable calls that failed during the log outage, out of `repeatable_calls_log_down`. */
  readonly repeatable_failed_log_down: number
  readonly repeatable_calls_log_down: number
  /** Median latency of repeatable calls while the log is available. */
  readonly repeatable_p50_ms: number
  /** Median latency of repeatable calls during the log outage. */
  readonly repeatable_p50_ms_log_down: number
  /**
   * Maximum time until a router refused a keyed call during the log outage; infinite if a call was not refused as not
   * run with a `retry-after` header.
   */
  readonly refusal_worst_ms_log_down: number
  readonly faults: FaultCounts
}
