import { Command } from 'clipanion'
import { errorPage } from '@mimosarock/schema/error-page.js'
import type { RouterContext } from './router-context.js'

/** The `errors` command: prints the page docs/ERRORS.md, which lists the result codes. */
export class ErrorPageCommand extends Command<RouterContext> {
  static override paths = [['errors']]
  static override usage = Command.Usage({
    description: 'Prints the page docs/ERRORS.md.',
    examples: [['List all result codes', 'mimosarock-router errors']]
  })

  /** Writes the page to standard output. */
  override async execute (): Promise<void> {
    this.context.stdout.write(errorPage())
  }
}
