/** Description of one result code for operators and HTTP clients. */
export interface ResultCodeDetail {
  /** Meaning of the code, in one sentence. */
  readonly meaning: string
  /** HTTP status of the problem+json response with this code. */
  readonly httpStatus: number
  /** Whether the call ran at an endpoint: `yes`, `no`, `unknown` or where to find out. */
  readonly ran: string
  /** Recommended action for the recipient. */
  readonly action: string
}
