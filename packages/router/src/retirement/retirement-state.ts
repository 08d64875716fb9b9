/** How far the retirement of an endpoint is. */
const RetirementState = {
  /** Too few other endpoints of the pool are live. */
  WAITING: 'waiting',
  /** No new work; requests in flight have the rule's drain time. */
  DRAINING: 'draining',
  /** Contexts go to the endpoints that get the chats. */
  EXPORTING: 'exporting',
  /** The endpoint may be switched off. */
  RELEASED: 'released'
} as const

/** One of the states. */
type RetirementState = typeof RetirementState[keyof typeof RetirementState]

export { RetirementState }
