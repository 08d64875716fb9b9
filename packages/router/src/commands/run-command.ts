import { Command } from 'clipanion'
import { BunyanEventLog } from '../logging/bunyan-event-log.js'
import type { RouterSettings } from '../settings/router-settings.js'
import { StopSignals } from '../wiring/stop-signals.js'
import { SettingsCommand } from './settings-command.js'

/** Runs a router until a signal ends it. */
export class RunCommand extends SettingsCommand {
  static override paths = [['run']]
  static override usage = Command.Usage({
    description: 'Runs a router until SIGTERM or SIGINT.',
    details: 'The first signal stops it gracefully within `[stopping] grace_ms`; the second ends it at once.',
    examples: [['Start', 'mimosarock-router run --settings router.ini']]
  })

  /**
   * Starts the router and waits for signals.
   * @param settings the validated settings
   */
  protected override async run (settings: RouterSettings): Promise<number> {
    const eventLog = new BunyanEventLog(settings.logging.level, this.context.stdout)
    const signals = new StopSignals(this.context.signals, eventLog)
    const router = await this.context.createRouter(settings, eventLog)
    // Listening first means that a signal during the start stops the router as well.
    const ended = signals.run(router)
    await router.start()
    return await ended
  }
}
