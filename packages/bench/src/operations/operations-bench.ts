import { Option } from 'clipanion'
import { BenchCommand } from '../command/bench-command.js'
import { parseWholeNumber } from '../command/parse-whole-number.js'
import { OperationsTrial } from './operations-trial.js'

/** Measures keyed calls through routers that are killed and paused, while log and services are faulty as well. */
export class OperationsBench extends BenchCommand {
  static override paths = [['operations']]

  /** Value of `--seconds`. */
  seconds = Option.String('--seconds', '30', { description: 'Duration of the load; extended if necessary to inject each fault at least 20 times.' })

  /** Value of `--rate`. */
  rate = Option.String('--rate', '120', { description: 'New keys per second; all routers, services and callers run in one process.' })

  /** Measures with the given duration and rate. */
  async measure (): Promise<object> {
    const seconds = parseWholeNumber('seconds', this.seconds)
    return await new OperationsTrial(this.seedNumber, seconds, parseWholeNumber('rate', this.rate)).run((text) => this.progress(text))
  }
}
