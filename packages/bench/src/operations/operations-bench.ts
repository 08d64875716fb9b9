import { Option } from 'clipanion'
import { BenchCommand } from '../command/bench-command.js'
import { parseWholeNumber } from '../command/parse-whole-number.js'
import { MeasureOperations } from './measure-operations.js'

/** `bench -- operations`: keyed calls through routers that are killed and paused, over a log that fails. */
export class OperationsBench extends BenchCommand {
  static override paths = [['operations']]

  /** Value of `--seconds`. */
  seconds = Option.String('--seconds', '30', { description: 'Length of the load; faults are caused at least 20 times each all the same.' })

  /** Value of `--rate`. */
  rate = Option.String('--rate', '120', { description: 'New keys a second; one process carries all routers, services and callers.' })

  /** Runs the bench. */
  async measure (): Promise<object> {
    const seconds = parseWholeNumber('seconds', this.seconds)
    return await new MeasureOperations(this.seedNumber, seconds, parseWholeNumber('rate', this.rate)).run((text) => this.progress(text))
  }
}
