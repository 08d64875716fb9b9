/**
 * Whether a call that failed with an error ran at an endpoint. For a call to the log service or a peer: whether it took
 * effect there.
 */
const RunState = {
  /** No byte of the call has reached or will reach an endpoint. */
  NOT_RUN: 'not-run',
  /** It is unknown whether the call ran. */
  UNKNOWN: 'unknown',
  /** The call ran. */
  RAN: 'ran'
} as const

/** Value of a run state, as sent in problem documents. */
type RunState = typeof RunState[keyof typeof RunState]

export { RunState }
