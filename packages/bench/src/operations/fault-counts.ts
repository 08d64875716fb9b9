/** Number of injected faults of each kind. */
export interface FaultCounts {
  killed_routers: number
  paused_routers: number
  lost_log_answers: number
  late_log_appends: number
  duplicated_log_appends: number
  slow_log: number
  stopped_log: number
  silent_connections: number
  silent_calls: number
  silent_answers: number
  lost_answers: number
  delayed_answers: number
}
