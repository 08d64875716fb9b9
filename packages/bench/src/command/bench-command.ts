import { Command, Option } from 'clipanion'
import { parseWholeNumber } from './parse-whole-number.js'

/**
 * One bench of the command line. Its result is printed as one JSON object on the last line of stdout.
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

  /** The seed as a number. */
  get seedNumber (): number {
    return parseWholeNumber('seed', this.seed)
  }

  /**
   * Runs the bench.
   * @returns the figures, as a JSON object
   */
  abstract measure (): Promise<object>

  /** Runs the bench and prints its result. */
  async execute (): Promise<number> {
    const result = await this.measure()
    this.context.stdout.write(`${JSON.stringify(result)}\n`)
    return 0
  }

  /**
   * Prints a line of progress; it goes to stderr so that stdout holds the result alone.
   * @param text the line
   */
  progress (text: string): void {
    this.context.stderr.write(`${text}\n`)
  }
}
