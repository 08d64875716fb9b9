/** What a call tells of the endpoint. */
const AnswerVerdict = {
  /** The endpoint answered; the response may state a mistake of the caller. */
  ANSWERED: 'answered',
  /** The endpoint failed the request. */
  FAILED: 'failed',
  /** Nothing: the request did not run, or the call was ended by others. */
  NONE: 'none'
} as const
type AnswerVerdict = typeof AnswerVerdict[keyof typeof AnswerVerdict]

export { AnswerVerdict }
