/** Outcome of a call to an endpoint. */
const CallOutcome = {
  /** The complete response arrived. */
  COMPLETE: 'complete',
  /** The endpoint stated that it did not run the request. */
  REJECTED: 'rejected',
  /** The request was never sent. */
  NOT_SENT: 'not-sent',
  /** The request was sent, but no response head arrived. */
  NO_ANSWER: 'no-answer',
  /** The response does not belong to this request or is not valid. */
  INVALID: 'invalid',
  /** The response ended prematurely after its head, or the receiver did not accept it. */
  BROKEN: 'broken',
  /** The router aborted the call because its deadline passed or the caller disconnected. */
  ABORTED: 'aborted'
} as const
type CallOutcome = typeof CallOutcome[keyof typeof CallOutcome]

export { CallOutcome }
