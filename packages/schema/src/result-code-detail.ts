/** What people and HTTP clients need to know of one result code. */
export interface ResultCodeDetail {
  /** What happened, in one sentence. */
  readonly meaning: string
  /** Status of the problem+json answer that carries the code. */
  readonly httpStatus: number
  /** Whether the call ran at an endpoint. */
  readonly ran: string
  /** What the receiver should do. */
  readonly action: string
}
