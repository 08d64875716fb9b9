import { BenchCommand } from '../command/bench-command.js'
import { measureEndpointWatch } from '../membership/measure-endpoint-watch.js'
import { measureFleet } from '../membership/measure-fleet.js'
import { capacityAtTarget } from './capacity-at-target.js'
import { fitSlope } from './fit-slope.js'
import { measureState } from './measure-state.js'

const FLEET_SIZES = [4, 8, 16, 32]

/** Measures how costs grow with fleet size and state, and extrapolates them to the target size. */
export class CapacityBench extends BenchCommand {
  static override paths = [['capacity']]
  static override usage = BenchCommand.Usage({ description: 'Slopes of processor time, memory and control traffic, extrapolated to the target size.' })

  /** Measures state first, before connections of a fleet allocate memory on the heap. */
  async measure (): Promise<object> {
    const state = measureState()
    const fleets = []
    for (const size of FLEET_SIZES) {
      fleets.push(await measureFleet(size, this.seedNumber))
      this.progress(JSON.stringify(fleets.at(-1)))
    }
    const slopes = {
      ...state,
      membership_bytes_per_second: fitSlope('bytes a second at the worst router for each router', fleets.map((fleet) => [fleet.routers, fleet.bytes_per_second_worst] as const)),
      revision_change_bytes: fitSlope('bytes of the worst router for a change, for each router', fleets.map((fleet) => [fleet.routers, fleet.revision_change_bytes_worst] as const)),
      heartbeat_us: fitSlope('microseconds of a heartbeat at both ends for each router', fleets.map((fleet) => [fleet.routers, fleet.processor_us_per_heartbeat] as const))
    }
    const endpointWatch = await measureEndpointWatch()
    return {
      seed: this.seedNumber,
      slopes,
      endpoint_watch_bytes_per_second: Math.round(endpointWatch),
      at_target: capacityAtTarget(slopes, endpointWatch)
    }
  }
}
