import type { BaseContext, Cli } from 'clipanion'
import { ResultCode } from '@mimosarock/schema/result-code.js'

const USAGE_EXIT_CODE = 2

/**
 * Runs a command line. One that can't be parsed gives a numbered line and the matching usage.
 * @param cli the commands
 * @param words the words after the binary's name
 * @param context where to print
 * @returns exit code
 */
export async function runCli (cli: Cli, words: string[], context: BaseContext): Promise<number> {
  try {
    cli.process(words, context)
  } catch (error) {
    const message = error instanceof Error ? error.message : String(error)
    // Clipanion writes `#0` where an option's value stands.
    const readable = message.trim().replaceAll('#0', 'VALUE')
    context.stderr.write(`error ${ResultCode.COMMAND_LINE_INVALID} COMMAND_LINE_INVALID: ${readable}\n`)
    return USAGE_EXIT_CODE
  }
  return await cli.run(words, context)
}
