/** Straight line fitted to a cost that was measured at several counts. */
export interface Slope {
  /** Unit of the cost and the item that it is counted for, for example `bytes for each key`. */
  readonly unit: string
  readonly slope: number
  readonly intercept: number
  /** Largest absolute deviation of a point from the line, in the unit of the cost. */
  readonly worst_residual: number
  /** Pairs of count and cost. */
  readonly points: ReadonlyArray<readonly [number, number]>
}
