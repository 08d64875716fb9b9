import type { PlacementClock } from './placement-clock.js'

/** What a circuit breaker works with. */
export interface CircuitBreakerOptions {
  /** Failures in a row that open the circuit. */
  readonly consecutiveFailures: number
  /** Time that the circuit stays open at first, in milliseconds; it doubles with each failed probe. */
  readonly openMs: number
  /** Longest time that it stays open, in milliseconds. */
  readonly maximumOpenMs: number
  readonly clock: PlacementClock
  /** Silences within this time after one that counted count with it, in milliseconds; each counts if left out. */
  readonly burstMs?: number
}
