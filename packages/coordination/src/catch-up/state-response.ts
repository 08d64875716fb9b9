/** Result of the method `log.state`: one part of the state of a stream. */
export interface StateResponse {
  /** Last offset that the state covers; equal for all parts of the same state. */
  readonly covers?: number
  /** Total number of parts. */
  readonly parts?: number
  /** Data of the part, in base64. */
  readonly data?: string
  /** The byte budget is exhausted, or this router has no state yet; the caller may retry later. */
  readonly busy?: boolean
}
