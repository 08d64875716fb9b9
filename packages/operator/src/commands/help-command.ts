import { Command } from 'clipanion'

/** The `help` command: lists all commands. */
export class HelpCommand extends Command {
  static override paths = [['-h'], ['--help'], ['help']]

  /** Prints the usage of every command; `COMMAND --help` prints the details and examples of one. */
  override async execute (): Promise<void> {
    // Clipanion prints `#0` as the placeholder for the value of an option.
    this.context.stdout.write(this.cli.usage().replaceAll('#0', 'VALUE'))
  }
}
