/** What a refusal says about whether the call ran at an endpoint. */
const RunState = {
  /** No byte of the call reached an endpoint and none will. */
  NOT_RUN: 'not-run',
  /** It can't be told whether the call ran. */
  UNKNOWN: 'unknown',
  /** The call ran. */
  RAN: 'ran'
} as const

/** One of the run states. */
type RunState = typeof RunState[keyof typeof RunState]

export { RunState }
