/** What the head of an endpoint's answer says. */
export interface AnswerHead {
  /** HTTP status. */
  readonly status: number
  /** End-to-end headers as name and value in turn, ready to be sent on. */
  readonly headers: readonly string[]
  /** Identity of the request that it answers; undefined if it names none. */
  readonly requestId: string | undefined
  /** Whether it carries the endpoint's signature. */
  readonly isSigned: boolean
  /** Whether it states that the request did not run. */
  readonly isNotRun: boolean
  /** Whether the body is in an encoding that no caller asked for. */
  readonly isEncoded: boolean
}
