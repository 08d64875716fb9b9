import { ResultCode } from '@mimosarock/schema/result-code.js'
import type { RouterContext } from './commands/router-context.js'
import { createRouterCli } from './create-router-cli.js'

const USAGE_EXIT_CODE = 2

/**
 * Runs the command line of `mimosarock-router`. If the arguments can't be parsed, prints one line with a result code.
 * @param commandArguments arguments after the name of the binary
 * @param context output streams, signals and the factory of the router
 * @returns exit code
 */
export async function runRouterCli (commandArguments: string[], context: RouterContext): Promise<number> {
  const cli = createRouterCli()
  try {
    cli.process(commandArguments, context)
  } catch (error) {
    const message = error instanceof Error ? error.message : String(error)
    context.stderr.write(`error ${ResultCode.COMMAND_LINE_INVALID} COMMAND_LINE_INVALID: ${message.trim()}\n`)
    return USAGE_EXIT_CODE
  }
  return await cli.run(commandArguments, context)
}
