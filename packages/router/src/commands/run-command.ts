import { Command } from 'clipanion'
import { BunyanEventLog } from '../logging/bunyan-event-log.js'
import type { RouterSettings } from '../settings/router-settings.js'
import { StopSignals } from '../wiring/stop-signals.js'
import { SettingsCommand } from './settings-command.js'

/** The `run` command: runs a router until a signal stops it. */
export class RunCommand extends SettingsCommand {
  static override paths = [['run']]
  static override usage = Command.Usage({
    description: 'Runs a router until SIGTERM or SIGINT.',
    details: 'The first signal stops the router gracefully within `[stopping] grace_ms`; the second one stops it immediately.',
    examples: [['Start a router', 'mimosarock-router run --settings router.ini']]
  })

  /**
   * Starts the router and waits until a signal has stopped it.
   * @param settings the validated settings
   * @returns exit code
   */
  protected override async run (settings: RouterSettings): Promise<number> {
    const eventLog = new BunyanEventLog(settings.logging.level, this.context.stdout)
    const signals = new StopSignals(this.context.signals, eventLog)
    const router = await this.context.createRouter(settings, eventLog)
    // The signal handlers are installed before the start, so that a signal during startup stops the router as well.
    const exitCode = signals.run(router)
    await router.start()
    return await exitCode
  }
}
