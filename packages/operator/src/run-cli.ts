import type { BaseContext, Cli } from 'clipanion'
import { ResultCode } from '@mimosarock/schema/result-code.js'

const USAGE_EXIT_CODE = 2

/**
 * Runs the command line of `mimosarock`. If the arguments can't be parsed, prints a line with a result code and the
 * matching usage.
 * @param cli command line interface with the registered commands
 * @param commandArguments arguments after the name of the binary
 * @param context input and output streams
 * @returns exit code; 2 if the arguments can't be parsed
 */
export async function runCli (cli: Cli, commandArguments: string[], context: BaseContext): Promise<number> {
  try {
    cli.process(commandArguments, context)
  } catch (error) {
    const message = error instanceof Error ? error.message : String(error)
    // Clipanion prints `#0` as the placeholder for the value of an option.
    const readable = message.trim().replaceAll('#0', 'VALUE')
    context.stderr.write(`error ${ResultCode.COMMAND_LINE_INVALID} COMMAND_LINE_INVALID: ${readable}\n`)
    return USAGE_EXIT_CODE
  }
  return await cli.run(commandArguments, context)
}
