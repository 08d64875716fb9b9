/** Fits a straight line to points by the method of least squares. */
export class LineFit {
  readonly intercept: number
  readonly slope: number
  /** Maximum absolute residual of a point, in the unit of the values. */
  readonly maximumResidual: number

  /**
   * @param points pairs of position and value; at least two positions must differ
   */
  constructor (points: ReadonlyArray<readonly [number, number]>) {
    const count = points.length
    const meanX = points.reduce((sum, [x]) => sum + x, 0) / count
    const meanY = points.reduce((sum, [, y]) => sum + y, 0) / count
    const covariance = points.reduce((sum, [x, y]) => sum + (x - meanX) * (y - meanY), 0)
    const variance = points.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0)
    this.slope = covariance / variance
    this.intercept = meanY - this.slope * meanX
    this.maximumResidual = Math.max(...points.map(([x, y]) => Math.abs(y - this.valueAt(x))))
  }

  /**
   * Returns the value of the fitted line at a position.
   * @param position position in the unit of the points' positions
   */
  valueAt (position: number): number {
    return this.intercept + this.slope * position
  }
}
