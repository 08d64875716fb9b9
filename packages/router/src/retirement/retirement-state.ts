/** Progress of the retirement of an endpoint. */
const RetirementState = {
  /** Waits to begin: too few other endpoints of the pool are live. */
  WAITING: 'waiting',
  /** The endpoint gets no new work; requests in flight may finish within the drain time of the rule. */
  DRAINING: 'draining',
  /** The endpoint's contexts are transferred to the endpoints that take over its chats. */
  EXPORTING: 'exporting',
  /** The retirement is complete; the endpoint may be shut down. */
  RELEASED: 'released'
} as const

/** Value of `RetirementState`. */
type RetirementState = typeof RetirementState[keyof typeof RetirementState]

export { RetirementState }
