import { BenchCommand } from '../command/bench-command.js'
import { measureFleetDecisions } from './measure-fleet-decisions.js'
import { measureGateway } from './measure-gateway.js'
import { measureSlotGrants } from './measure-slot-grants.js'

/** Measures how the costs of the one-hop router, which is the package `gateway`, grow with the size of its state. */
export class GatewayBench extends BenchCommand {
  static override paths = [['gateway']]
  static override usage = BenchCommand.Usage({ description: 'Slopes of the one-hop router: decisions, memory, synchronization between routers, decisions for the whole fleet, slot grants.' })

  async measure (): Promise<object> {
    return { seed: this.seedNumber, slopes: { ...measureGateway(), ...measureFleetDecisions(), ...measureSlotGrants() } }
  }
}
