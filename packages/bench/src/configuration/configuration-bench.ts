import { Command, Option } from 'clipanion'
import { BenchCommand } from '../command/bench-command.js'
import { parseWholeNumber } from '../command/parse-whole-number.js'
import { ConfigurationTrial } from './configuration-trial.js'

/** Measures configuration changes, endpoint retirements and router replacements under faults of log service and links. */
export class ConfigurationBench extends BenchCommand {
  static override paths = [['configuration']]
  static override usage = Command.Usage({
    description: 'Measures how fast changes come into force on every router; counts reverted revisions, conflicting results and streams cut off.',
    examples: [['Eight routers', 'npm run --silent bench -- configuration --seed 1 --routers 8']]
  })

  routers = Option.String('--routers', '8', { description: 'Routers in the fleet.' })

  /** Runs all phases and returns the figures. */
  override async measure (): Promise<object> {
    const routers = parseWholeNumber('routers', this.routers)
    return await new ConfigurationTrial(this.seedNumber, routers, (text) => this.progress(text)).run()
  }
}
