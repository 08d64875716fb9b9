import { Command, Option } from 'clipanion'
import { parseWholeNumber } from './parse-whole-number.js'

/**
 * A benchmark of the command line. Prints its result as one JSON object on the last line of stdout.
 *
 * @example
 * export class EchoBench extends BenchCommand {
 *   static override paths = [['echo']]
 *   async measure () { return { seed: this.seedNumber } }
 * }
 */
export abstract class BenchCommand extends Command {
  /** Value of `--seed`. */
  seed = Option.String('--seed', '1', { description: 'Seed of all random numbers.' })

  /** Value of `--seed` as a number. */
  get seedNumber (): number {
    return parseWholeNumber('seed', this.seed)
  }

  /**
   * Runs the benchmark.
   * @returns the figures, as an object that can be encoded as JSON
   */
  abstract measure (): Promise<object>

  /**
   * Runs the benchmark and prints its result.
   * @returns exit status 0
   */
  async execute (): Promise<number> {
    const result = await this.measure()
    this.context.stdout.write(`${JSON.stringify(result)}\n`)
    return 0
  }

  /**
   * Prints a progress line to stderr, so that stdout contains only the result.
   * @param text line without a line feed
   */
  progress (text: string): void {
    this.context.stderr.write(`${text}\n`)
  }
}
