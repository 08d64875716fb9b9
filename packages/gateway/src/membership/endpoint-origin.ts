/** Where a list of endpoints or a change of one came from, for the log. */
export interface EndpointOrigin {
  /** Name of the router that told it; `store` if this router has read it itself. */
  readonly source: string
  /** Time as of which the source knew it, by the clock of this router, in milliseconds; undefined if it is not stated. */
  readonly asOf: number | undefined
}
