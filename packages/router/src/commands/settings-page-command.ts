import { Command } from 'clipanion'
import { settingsPage } from '../settings/settings-page.js'
import type { RouterContext } from './router-context.js'

/** Prints docs/SETTINGS.md. */
export class SettingsPageCommand extends Command<RouterContext> {
  static override paths = [['settings']]
  static override usage = Command.Usage({
    description: 'Prints docs/SETTINGS.md.',
    examples: [['Every key with unit, default and bound', 'mimosarock-router settings']]
  })

  /** Prints the page. */
  override async execute (): Promise<void> {
    this.context.stdout.write(settingsPage())
  }
}
