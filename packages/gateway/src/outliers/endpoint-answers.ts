/** Answers of one endpoint within the counted time. */
export interface EndpointAnswers {
  /** Id of the endpoint. */
  readonly id: string
  /** Start of its incarnation in Unix milliseconds; 0 if unknown. */
  readonly startedAt: number
  /** Number of answers, failures included; not an integer where a part of it is estimated. */
  readonly answers: number
  /** Number of failures. */
  readonly failures: number
}
