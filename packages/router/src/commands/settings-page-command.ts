import { Command } from 'clipanion'
import { settingsPage } from '../settings/settings-page.js'
import type { RouterContext } from './router-context.js'

/** The `settings` command: prints the page docs/SETTINGS.md, which lists the settings. */
export class SettingsPageCommand extends Command<RouterContext> {
  static override paths = [['settings']]
  static override usage = Command.Usage({
    description: 'Prints the page docs/SETTINGS.md.',
    examples: [['List all keys with unit, default and bound', 'mimosarock-router settings']]
  })

  /** Writes the page to standard output. */
  override async execute (): Promise<void> {
    this.context.stdout.write(settingsPage())
  }
}
