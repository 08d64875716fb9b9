/** A straight line through points by least squares. */
export class LineFit {
  readonly intercept: number
  readonly slope: number
  /** Largest distance of a point from the line, in the unit of the values. */
  readonly worstResidual: number

  /**
   * @param points pairs of position and value
   */
  constructor (points: ReadonlyArray<readonly [number, number]>) {
    const count = points.length
    const meanX = points.reduce((sum, [x]) => sum + x, 0) / count
    const meanY = points.reduce((sum, [, y]) => sum + y, 0) / count
    const covariance = points.reduce((sum, [x, y]) => sum + (x - meanX) * (y - meanY), 0)
    const variance = points.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0)
    this.slope = covariance / variance
    this.intercept = meanY - this.slope * meanX
    this.worstResidual = Math.max(...points.map(([x, y]) => Math.abs(y - this.at(x))))
  }

  /**
   * Value of the line.
   * @param position where
   */
  at (position: number): number {
    return this.intercept + this.slope * position
  }
}
