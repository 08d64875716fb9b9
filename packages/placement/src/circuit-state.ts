/** States of a circuit breaker. */
const CircuitState = {
  /** All requests are permitted. */
  CLOSED: 'closed',
  /** No requests are permitted. */
  OPEN: 'open',
  /** One probe at a time is permitted. */
  HALF_OPEN: 'half-open'
} as const

/** State of a circuit breaker. */
type CircuitState = typeof CircuitState[keyof typeof CircuitState]

export { CircuitState }
