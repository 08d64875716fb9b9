/** An engine that is lost for some time and comes back empty. */
export interface EngineLoss {
  readonly engine: number
  /** Begin, in milliseconds since the start. */
  readonly from: number
  /** End, in milliseconds since the start. */
  readonly to: number
}
