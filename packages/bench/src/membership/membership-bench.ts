import { Option } from 'clipanion'
import { BenchCommand } from '../command/bench-command.js'
import { parseWholeNumber } from '../command/parse-whole-number.js'
import type { FleetFigures } from './fleet-figures.js'
import { LineFit } from './line-fit.js'
import { measureEndpointWatch } from './measure-endpoint-watch.js'
import { measureFleet } from './measure-fleet.js'

const TARGET_ROUTERS = 800

/**
 * Measures cost and convergence time of the membership protocol by fleet size, and extrapolates the cost to the target
 * size.
 */
export class MembershipBench extends BenchCommand {
  static override paths = [['membership']]
  static override usage = BenchCommand.Usage({ description: 'Control traffic, failure detection time and convergence time of membership by fleet size.' })

  /** Value of `--routers`. */
  routers = Option.String('--routers', '8,32,128', { description: 'Fleet sizes, separated by commas.' })

  /** Measures each fleet size in turn, then fits lines to the results. */
  async measure (): Promise<object> {
    const fleets: FleetFigures[] = []
    for (const size of this.routers.split(',')) {
      const figures = await measureFleet(parseWholeNumber('routers', size), this.seedNumber)
      this.progress(JSON.stringify(figures))
      fleets.push(figures)
    }
    const watchRate = await measureEndpointWatch()
    return { seed: this.seedNumber, fleets, ...fitLines(fleets), endpoint_watch_bytes_per_second: Math.round(watchRate) }
  }
}

function fitLines (fleets: readonly FleetFigures[]): object {
  const linear = new LineFit(fleets.map((fleet) => [fleet.routers, fleet.bytes_per_second_worst]))
  const logarithmic = new LineFit(fleets.map((fleet) => [Math.log2(fleet.routers), fleet.bytes_per_second_worst]))
  const revisions = new LineFit(fleets.map((fleet) => [fleet.routers, fleet.revision_change_bytes_worst]))
  return {
    bytes_per_second_slope_for_each_router: round(linear.slope),
    bytes_per_second_at_800: Math.round(linear.valueAt(TARGET_ROUTERS)),
    bytes_per_second_residual: Math.round(linear.maximumResidual),
    bytes_per_second_at_800_by_logarithm: Math.round(logarithmic.valueAt(Math.log2(TARGET_ROUTERS))),
    bytes_per_second_residual_by_logarithm: Math.round(logarithmic.maximumResidual),
    revision_change_bytes_at_800: Math.round(revisions.valueAt(TARGET_ROUTERS)),
    revision_change_bytes_residual: Math.round(revisions.maximumResidual)
  }
}

function round (value: number): number {
  return Math.round(value * 100) / 100
}
