import { Command, Option } from 'clipanion'
import { BenchCommand } from '../command/bench-command.js'
import { parseWholeNumber } from '../command/parse-whole-number.js'
import { ConfigurationTrial } from './configuration-trial.js'

/** Changes of the configuration, leaving endpoints and replaced routers, under faults of the log and of links. */
export class ConfigurationBench extends BenchCommand {
  static override paths = [['configuration']]
  static override usage = Command.Usage({
    description: 'Measures how fast changes are in force on every router, and that nothing reverts, splits or is cut off.',
    examples: [['Eight routers', 'npm run --silent bench -- configuration --seed 1 --routers 8']]
  })

  routers = Option.String('--routers', '8', { description: 'Routers in the fleet.' })

  /** Runs all phases and gives the figures. */
  override async measure (): Promise<object> {
    const routers = parseWholeNumber('routers', this.routers)
    return await new ConfigurationTrial(this.seedNumber, routers, (text) => this.progress(text)).run()
  }
}
