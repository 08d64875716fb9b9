/** Answer to `log.state`: one part of a stream's whole state. */
export interface StateAnswer {
  /** Last offset that the state covers; the parts of one state agree in it. */
  readonly covers?: number
  /** Number of parts. */
  readonly parts?: number
  /** The part in base64. */
  readonly data?: string
  /** The budget is spent for now, or this router has no state itself. */
  readonly busy?: boolean
}
