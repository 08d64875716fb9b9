import { Command } from 'clipanion'

/** Prints all commands. */
export class HelpCommand extends Command {
  static override paths = [['-h'], ['--help'], ['help']]

  /** Prints the usage of each command; `COMMAND --help` has details and examples. */
  override async execute (): Promise<void> {
    // Clipanion writes `#0` where an option's value stands.
    this.context.stdout.write(this.cli.usage().replaceAll('#0', 'VALUE'))
  }
}
