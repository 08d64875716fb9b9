import { LineFit } from '../membership/line-fit.js'
import type { Slope } from './slope.js'

/**
 * Fits a straight line to measured points. Costs and fitted values are rounded to 4 significant digits.
 * @param unit unit of the cost and the item that it is counted for, for example `bytes for each key`
 * @param points pairs of count and cost
 */
export function fitSlope (unit: string, points: ReadonlyArray<readonly [number, number]>): Slope {
  const fit = new LineFit(points)
  return {
    unit,
    slope: round(fit.slope),
    intercept: round(fit.intercept),
    worst_residual: round(fit.maximumResidual),
    points: points.map(([count, cost]) => [count, round(cost)] as const)
  }
}

function round (value: number): number {
  return Number(value.toPrecision(4))
}
