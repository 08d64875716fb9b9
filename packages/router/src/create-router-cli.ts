import { Builtins, Cli } from 'clipanion'
import { CheckCommand } from './commands/check-command.js'
import { ErrorPageCommand } from './commands/error-page-command.js'
import type { RouterContext } from './commands/router-context.js'
import { RunCommand } from './commands/run-command.js'
import { SettingsPageCommand } from './commands/settings-page-command.js'

const VERSION = '0.1.0'

/** Creates the command line interface of the binary `mimosarock-router`. */
export function createRouterCli (): Cli<RouterContext> {
  const cli = new Cli<RouterContext>({ binaryLabel: 'mimosarock router', binaryName: 'mimosarock-router', binaryVersion: VERSION })
  for (const command of [RunCommand, CheckCommand, SettingsPageCommand, ErrorPageCommand]) cli.register(command)
  cli.register(Builtins.HelpCommand)
  cli.register(Builtins.VersionCommand)
  return cli
}
