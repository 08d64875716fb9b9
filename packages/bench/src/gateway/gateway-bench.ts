import { BenchCommand } from '../command/bench-command.js'
import { measureGateway } from './measure-gateway.js'

/** Measures how the costs of the router with one hop grow. */
export class GatewayBench extends BenchCommand {
  static override paths = [['gateway']]
  static override usage = BenchCommand.Usage({ description: 'Slopes of the router with one hop: decisions, memory, what routers tell each other.' })

  async measure (): Promise<object> {
    return { seed: this.seedNumber, slopes: measureGateway() }
  }
}
