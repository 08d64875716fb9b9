import { Command, Option } from 'clipanion'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { readOperatorAccess } from '../wiring/read-operator-access.js'
import { readPeerAccess } from '../wiring/read-peer-access.js'
import { readSettings } from '../settings/read-settings.js'
import type { RouterSettings } from '../settings/router-settings.js'
import type { RouterContext } from './router-context.js'

const ERROR_EXIT_CODE = 2

/** Base class of the commands that read a settings file. */
export abstract class SettingsCommand extends Command<RouterContext> {
  settings = Option.String('--settings', { description: 'Required: path of the INI file; docs/SETTINGS.md lists its keys.' })

  /**
   * Runs the command after the settings have been validated.
   * @param settings the validated settings
   * @returns exit code
   */
  protected abstract run (settings: RouterSettings): Promise<number>

  /** Reads the settings and runs the command. An error is printed as one line with its result code. */
  override async execute (): Promise<number> {
    try {
      if (this.settings === undefined) {
        throw new MimosarockError(ResultCode.COMMAND_LINE_INVALID, '--settings FILE is required', { field: '--settings' })
      }
      const settings = readSettings(this.settings)
      // Reads the files that the settings refer to, so that an unreadable one fails before the router starts.
      readOperatorAccess(settings)
      readPeerAccess(settings)
      return await this.run(settings)
    } catch (error) {
      if (!(error instanceof MimosarockError)) throw error
      const name = Object.entries(ResultCode).find(([, code]) => code === error.code)?.[0] ?? ''
      this.context.stderr.write(`error ${error.code} ${name}: ${error.message}\n`)
      return ERROR_EXIT_CODE
    }
  }
}
