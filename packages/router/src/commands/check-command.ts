import { Command } from 'clipanion'
import { formatSettings } from '../settings/format-settings.js'
import type { RouterSettings } from '../settings/router-settings.js'
import { SettingsCommand } from './settings-command.js'

/** The `check` command: validates a settings file and prints the settings in effect. */
export class CheckCommand extends SettingsCommand {
  static override paths = [['check']]
  static override usage = Command.Usage({
    description: 'Validates a settings file and prints the settings in effect, defaults included.',
    details: 'Files that the settings refer to are read as well, but not printed. No router is started.',
    examples: [['Check a settings file before a rollout', 'mimosarock-router check --settings router.ini']]
  })

  /**
   * Prints the settings in INI format.
   * @param settings the validated settings
   */
  protected override async run (settings: RouterSettings): Promise<number> {
    this.context.stdout.write(formatSettings(settings))
    return 0
  }
}
