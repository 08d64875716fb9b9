/** How a call to an endpoint ended. */
const CallOutcome = {
  /** The whole answer arrived. */
  COMPLETE: 'complete',
  /** The endpoint states that it did not run the request. */
  REJECTED: 'rejected',
  /** The request was never sent. */
  NOT_SENT: 'not-sent',
  /** The request was sent, and no usable answer came. */
  NO_ANSWER: 'no-answer',
  /** What came is no answer to this request. */
  INVALID: 'invalid',
  /** The answer broke off after its head. */
  BROKEN: 'broken',
  /** The router ended the call: its time was up, or the caller left. */
  ABORTED: 'aborted'
} as const
type CallOutcome = typeof CallOutcome[keyof typeof CallOutcome]

export { CallOutcome }
