import type { PlacementClock } from './placement-clock.js'

/** Options of a `CircuitBreaker`. */
export interface CircuitBreakerOptions {
  /** Number of consecutive failures that opens the circuit; a timeout counts as two. */
  readonly failureThreshold: number
  /** Initial time that the circuit stays open, in milliseconds. It doubles with each failed probe. */
  readonly openMs: number
  /** Upper bound on the time that the circuit stays open, in milliseconds. */
  readonly maximumOpenMs: number
  readonly clock: PlacementClock
  /**
   * Interval after a counted timeout during which further timeouts are not counted, in milliseconds. If omitted,
   * every timeout counts.
   */
  readonly timeoutBurstMs?: number
}
