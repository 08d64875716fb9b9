/** What a circuit lets through. */
const CircuitState = {
  /** Every call. */
  CLOSED: 'closed',
  /** None. */
  OPEN: 'open',
  /** One probe at a time. */
  HALF_OPEN: 'half-open'
} as const

/** One of the circuit states. */
type CircuitState = typeof CircuitState[keyof typeof CircuitState]

export { CircuitState }
