import { Command } from 'clipanion'
import { errorPage } from '@mimosarock/schema/error-page.js'
import type { RouterContext } from './router-context.js'

/** Prints docs/ERRORS.md. */
export class ErrorPageCommand extends Command<RouterContext> {
  static override paths = [['errors']]
  static override usage = Command.Usage({
    description: 'Prints docs/ERRORS.md.',
    examples: [['Every numbered result', 'mimosarock-router errors']]
  })

  /** Prints the page. */
  override async execute (): Promise<void> {
    this.context.stdout.write(errorPage())
  }
}
