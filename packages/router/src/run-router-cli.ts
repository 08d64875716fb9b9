import { ResultCode } from '@mimosarock/schema/result-code.js'
import type { RouterContext } from './commands/router-context.js'
import { createRouterCli } from './create-router-cli.js'

const USAGE_EXIT_CODE = 2

/**
 * Runs the router's command line. One that can't be parsed gives a numbered line.
 * @param words the words after the binary's name
 * @param context where to print and how to make a router
 * @returns exit code
 */
export async function runRouterCli (words: string[], context: RouterContext): Promise<number> {
  const cli = createRouterCli()
  try {
    cli.process(words, context)
  } catch (error) {
    const message = error instanceof Error ? error.message : String(error)
    context.stderr.write(`error ${ResultCode.COMMAND_LINE_INVALID} COMMAND_LINE_INVALID: ${message.trim()}\n`)
    return USAGE_EXIT_CODE
  }
  return await cli.run(words, context)
}
