/** A cost that grows with a count, measured at several counts. */
export interface Slope {
  /** What is counted and what it costs, for example `bytes for each key`. */
  readonly unit: string
  readonly slope: number
  readonly intercept: number
  /** Largest distance of a point from the line, in the unit of the cost. */
  readonly worst_residual: number
  /** Pairs of count and cost. */
  readonly points: ReadonlyArray<readonly [number, number]>
}
